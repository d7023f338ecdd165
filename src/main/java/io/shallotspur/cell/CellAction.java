package io.shallotspur.cell;

import io.shallotspur.outcome.Refusal;

/**
 * What the scheduler wants done. All actions are immutable. An action is an order to the
 * interpreter (the live node or the replay), which answers with {@link CellEvent}s of the
 * same attempt; an answer to an attempt that has been given up is dropped.
 */
public sealed interface CellAction {

	/**
	 * Start a prefill.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param prefillWorkerId the worker that reads the prompt
	 * @param decodeWorkerId the worker on which a slot is reserved
	 * @param deliveredTokens tokens the caller already has; they are part of the prompt now
	 */
	record StartPrefill(String requestId, long attempt, String prefillWorkerId, String decodeWorkerId,
			int deliveredTokens) implements CellAction {

	}

	/**
	 * Move the KV cache of a finished prefill.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param prefillWorkerId the worker that holds the KV cache
	 * @param decodeWorkerId the worker that is to generate
	 */
	record StartTransfer(String requestId, long attempt, String prefillWorkerId,
			String decodeWorkerId) implements CellAction {

	}

	/**
	 * Generate. The caller is sent each token as it comes.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param decodeWorkerId the worker that is to generate
	 */
	record StartDecode(String requestId, long attempt, String decodeWorkerId) implements CellAction {

	}

	/**
	 * Stop a prefill, and drop what it computed.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param workerId the prefill worker
	 */
	record CancelPrefill(String requestId, long attempt, String workerId) implements CellAction {

	}

	/**
	 * Stop a transfer. The KV cache stays at the prefill worker until {@link ReleaseKv}.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param prefillWorkerId the worker that holds the KV cache
	 * @param decodeWorkerId the worker that is to generate
	 */
	record CancelTransfer(String requestId, long attempt, String prefillWorkerId,
			String decodeWorkerId) implements CellAction {

	}

	/**
	 * Stop a decode and free its memory.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param workerId the decode worker
	 */
	record CancelDecode(String requestId, long attempt, String workerId) implements CellAction {

	}

	/**
	 * Drop the KV cache of a finished prefill.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param workerId the prefill worker
	 */
	record ReleaseKv(String requestId, long attempt, String workerId) implements CellAction {

	}

	/**
	 * End the request without an answer, or without the rest of one.
	 *
	 * @param requestId the request
	 * @param refusal what the caller is told
	 */
	record Refuse(String requestId, Refusal refusal) implements CellAction {

	}

}
