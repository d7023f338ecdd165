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
	 * @param prefillWorker the worker that reads the prompt
	 * @param decodeWorker the worker on which a slot is reserved
	 * @param resumeFrom tokens the caller already has; they are part of the prompt now
	 */
	record StartPrefill(String requestId, long attempt, String prefillWorker, String decodeWorker,
			int resumeFrom) implements CellAction {

	}

	/**
	 * Move the KV cache of a finished prefill.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param prefillWorker the worker that holds the KV cache
	 * @param decodeWorker the worker that is to generate
	 */
	record StartTransfer(String requestId, long attempt, String prefillWorker,
			String decodeWorker) implements CellAction {

	}

	/**
	 * Generate. The caller is sent each token as it comes.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param decodeWorker the worker that is to generate
	 */
	record StartDecode(String requestId, long attempt, String decodeWorker) implements CellAction {

	}

	/**
	 * Stop a prefill, and drop what it computed.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param worker the prefill worker
	 */
	record CancelPrefill(String requestId, long attempt, String worker) implements CellAction {

	}

	/**
	 * Stop a transfer. The KV cache stays at the prefill worker until {@link ReleaseKv}.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param prefillWorker the worker that holds the KV cache
	 * @param decodeWorker the worker that is to generate
	 */
	record CancelTransfer(String requestId, long attempt, String prefillWorker,
			String decodeWorker) implements CellAction {

	}

	/**
	 * Stop a decode and free its memory.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param worker the decode worker
	 */
	record CancelDecode(String requestId, long attempt, String worker) implements CellAction {

	}

	/**
	 * Drop the KV cache of a finished prefill.
	 *
	 * @param requestId the request
	 * @param attempt unique among the attempts of the scheduler
	 * @param worker the prefill worker
	 */
	record ReleaseKv(String requestId, long attempt, String worker) implements CellAction {

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
