/**
 * Request scheduling: fair queueing between customers, timers of pending requests, and
 * the split of a customer's share over cells. The classes do no I/O and receive the
 * current time as an argument.
 */
@NullMarked
package io.shallotspur.admission;

import org.jspecify.annotations.NullMarked;
