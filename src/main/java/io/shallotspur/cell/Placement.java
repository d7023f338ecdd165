package io.shallotspur.cell;

import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.PrefillWorker;

/**
 * The workers selected for a request, with the expected times of its prefill. Immutable.
 *
 * @param prefillWorker the prefill worker
 * @param decodeWorker the decode worker on which a slot is reserved
 * @param startAt when the prefill can start, in milliseconds
 * @param prefillMs expected duration of the prefill, in milliseconds
 * @param readyAt when the transfer of the KV cache to the decode worker is expected to
 * end, in milliseconds
 */
record Placement(PrefillWorker prefillWorker, DecodeWorker decodeWorker, double startAt, double prefillMs,
		double readyAt) {

}
