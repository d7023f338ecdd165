/**
 * Which entry VMs are alive and what each of them owns: a SWIM-style failure detector as
 * a pure state machine, and rendezvous hashing over its result.
 */
@NullMarked
package io.shallotspur.membership;

import org.jspecify.annotations.NullMarked;
