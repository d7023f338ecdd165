package io.shallotspur.cell;

/**
 * The processing stage of a request.
 */
enum JobStage {

	/**
	 * Queued for a prefill worker.
	 */
	QUEUED,

	/**
	 * A prefill worker processes the prompt.
	 */
	PREFILLING,

	/**
	 * The KV cache is on the prefill worker, ready for transfer.
	 */
	KV_READY,

	/**
	 * The KV cache is being transferred to a decode worker.
	 */
	TRANSFERRING,

	/**
	 * A decode worker generates the answer.
	 */
	DECODING,

	/**
	 * The request has ended.
	 */
	ENDED

}
