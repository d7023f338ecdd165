/**
 * When a failed call may be tried again, how long to wait, and which workers to leave out
 * meanwhile.
 */
@NullMarked
package io.shallotspur.retry;

import org.jspecify.annotations.NullMarked;
