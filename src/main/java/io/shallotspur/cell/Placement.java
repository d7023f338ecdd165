package io.shallotspur.cell;

import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.PrefillWorker;

/**
 * The best way found to run a request's prefill. Immutable.
 *
 * @param worker the prefill worker
 * @param decode the decode worker on which a slot is reserved
 * @param startAt when it can start, in milliseconds
 * @param prefillMs how long the prefill is expected to take
 * @param readyAt when the KV cache is expected at a decode worker, in milliseconds
 */
record Placement(PrefillWorker worker, DecodeWorker decode, double startAt, double prefillMs, double readyAt) {

}
