/**
 * Set-up of the log: one line an entry on the error stream, plain or JSON.
 */
@NullMarked
package io.shallotspur.util.log;

import org.jspecify.annotations.NullMarked;
