/**
 * The command line.
 */
@NullMarked
package io.shallotspur.cli;

import org.jspecify.annotations.NullMarked;
