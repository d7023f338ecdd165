/**
 * Small fake engines in virtual time: one event queue, prefill, decode and plain workers.
 */
@NullMarked
package io.shallotspur.replay.fake;

import org.jspecify.annotations.NullMarked;
