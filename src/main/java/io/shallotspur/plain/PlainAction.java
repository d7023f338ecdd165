package io.shallotspur.plain;

import io.shallotspur.outcome.Refusal;

/**
 * An action that the scheduler requests. All actions are immutable.
 */
public sealed interface PlainAction {

	/**
	 * Send the call to a worker. A call that is not repeatable is first written to the
	 * ledger.
	 *
	 * @param requestId the id of the call
	 * @param attempt the id of the attempt, unique within the scheduler
	 * @param workerId the worker
	 */
	record StartCall(String requestId, long attempt, String workerId) implements PlainAction {

	}

	/**
	 * Cancel an attempt.
	 *
	 * @param requestId the id of the call
	 * @param attempt the id of the attempt, unique within the scheduler
	 * @param workerId the worker
	 */
	record CancelCall(String requestId, long attempt, String workerId) implements PlainAction {

	}

	/**
	 * End the call without a response.
	 *
	 * @param requestId the id of the call
	 * @param refusal the refusal to send to the caller
	 */
	record Refuse(String requestId, Refusal refusal) implements PlainAction {

	}

}
