/**
 * Decisions about the model requests of one cell (the prefill and decode workers of one
 * model that one entry VM admits work to). The scheduler is a state machine: it takes
 * events, returns actions, and touches neither clock, thread nor network.
 */
@NullMarked
package io.shallotspur.cell;

import org.jspecify.annotations.NullMarked;
