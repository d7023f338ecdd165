package io.shallotspur.cell;

/**
 * Where a request stands.
 */
enum Stage {

	/**
	 * Waits for a prefill worker.
	 */
	QUEUED,

	/**
	 * Its prompt is being read.
	 */
	PREFILLING,

	/**
	 * Its KV cache waits at the prefill worker for a transfer.
	 */
	KV_READY,

	/**
	 * Its KV cache moves to a decode worker.
	 */
	TRANSFERRING,

	/**
	 * Its answer is being generated.
	 */
	DECODING,

	/**
	 * It has ended.
	 */
	ENDED

}
