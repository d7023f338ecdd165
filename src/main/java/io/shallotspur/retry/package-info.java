/**
 * Retry policy: whether a failed call may be retried, how long to back off, and which
 * workers are ejected in the meantime.
 */
@NullMarked
package io.shallotspur.retry;

import org.jspecify.annotations.NullMarked;
