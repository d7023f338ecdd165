package io.shallotspur.cell;

import io.shallotspur.outcome.Refusal;

/**
 * A command that the scheduler issues to its executor (the live node or the replay). All
 * actions are immutable. The executor reports results as {@link CellEvent}s of the same
 * attempt; events of an attempt that was cancelled are ignored.
 */
public sealed interface CellAction {

	/**
	 * Starts a prefill.
	 *
	 * @param requestId the request
	 * @param attempt the attempt, unique within the scheduler
	 * @param prefillWorkerId the worker that processes the prompt
	 * @param decodeWorkerId the worker on which a slot is reserved
	 * @param deliveredTokens output tokens that the caller has already received; they are
	 * appended to the prompt
	 */
	record StartPrefill(String requestId, long attempt, String prefillWorkerId, String decodeWorkerId,
			int deliveredTokens) implements CellAction {

	}

	/**
	 * Transfers the KV cache of a finished prefill to a decode worker.
	 *
	 * @param requestId the request
	 * @param attempt the attempt, unique within the scheduler
	 * @param prefillWorkerId the worker that holds the KV cache
	 * @param decodeWorkerId the worker that generates the answer
	 */
	record StartTransfer(String requestId, long attempt, String prefillWorkerId,
			String decodeWorkerId) implements CellAction {

	}

	/**
	 * Starts decoding. Each token is sent to the caller as it is generated.
	 *
	 * @param requestId the request
	 * @param attempt the attempt, unique within the scheduler
	 * @param decodeWorkerId the worker that generates the answer
	 */
	record StartDecode(String requestId, long attempt, String decodeWorkerId) implements CellAction {

	}

	/**
	 * Cancels a prefill and discards its result.
	 *
	 * @param requestId the request
	 * @param attempt the attempt, unique within the scheduler
	 * @param workerId the prefill worker
	 */
	record CancelPrefill(String requestId, long attempt, String workerId) implements CellAction {

	}

	/**
	 * Cancels a transfer. The KV cache stays on the prefill worker until
	 * {@link ReleaseKv}.
	 *
	 * @param requestId the request
	 * @param attempt the attempt, unique within the scheduler
	 * @param prefillWorkerId the worker that holds the KV cache
	 * @param decodeWorkerId the worker that generates the answer
	 */
	record CancelTransfer(String requestId, long attempt, String prefillWorkerId,
			String decodeWorkerId) implements CellAction {

	}

	/**
	 * Cancels a decode and frees its memory.
	 *
	 * @param requestId the request
	 * @param attempt the attempt, unique within the scheduler
	 * @param workerId the decode worker
	 */
	record CancelDecode(String requestId, long attempt, String workerId) implements CellAction {

	}

	/**
	 * Frees the KV cache of a finished prefill.
	 *
	 * @param requestId the request
	 * @param attempt the attempt, unique within the scheduler
	 * @param workerId the prefill worker
	 */
	record ReleaseKv(String requestId, long attempt, String workerId) implements CellAction {

	}

	/**
	 * Ends the request without an answer, or before its answer is complete.
	 *
	 * @param requestId the request
	 * @param refusal the error returned to the caller
	 */
	record Refuse(String requestId, Refusal refusal) implements CellAction {

	}

}
