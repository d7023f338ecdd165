/**
 * Scheduling of the model requests of one cell: a set of prefill and decode workers of
 * one model to which a single entry VM admits requests. The scheduler is a state machine:
 * it consumes events and returns actions, and uses no clock, threads or network.
 */
@NullMarked
package io.shallotspur.cell;

import org.jspecify.annotations.NullMarked;
