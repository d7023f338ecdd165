package io.shallotspur.node;

import io.shallotspur.ledger.IntentKey;
import io.shallotspur.plain.PlainRequest;
import io.shallotspur.port.PlainCall;

/**
 * An authenticated call to a plain service. Immutable.
 *
 * @param request the call as the scheduler sees it
 * @param call the call as the service gets it
 * @param bodyHash hash of what is to be run
 */
public record PlainTask(PlainRequest request, PlainCall call, long bodyHash) {

	/**
	 * Returns the name under which the call may run once at most.
	 * @return the key
	 */
	IntentKey intentKey() {
		return new IntentKey(this.request.customer(), this.call.key());
	}

}
