/**
 * Scheduling of calls to plain upstreams, as a state machine that maps events to actions.
 */
@NullMarked
package io.shallotspur.plain;

import org.jspecify.annotations.NullMarked;
