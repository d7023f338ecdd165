package io.shallotspur.plain;

import io.shallotspur.outcome.Refusal;

/**
 * What the scheduler wants done. All actions are immutable.
 */
public sealed interface PlainAction {

	/**
	 * Send the call to a worker. A call that may not be repeated is written to the ledger
	 * first.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param workerId the worker
	 */
	record StartCall(String requestId, long attempt, String workerId) implements PlainAction {

	}

	/**
	 * Give up an attempt.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param workerId the worker
	 */
	record CancelCall(String requestId, long attempt, String workerId) implements PlainAction {

	}

	/**
	 * End the call without an answer.
	 *
	 * @param requestId the request
	 * @param refusal what the caller is told
	 */
	record Refuse(String requestId, Refusal refusal) implements PlainAction {

	}

}
