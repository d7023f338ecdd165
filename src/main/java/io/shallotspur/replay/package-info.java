/**
 * Replay of recorded traces. The product's own schedulers are driven over small fake
 * engines in virtual time, so that policies can be compared on the same input.
 */
@NullMarked
package io.shallotspur.replay;

import org.jspecify.annotations.NullMarked;
