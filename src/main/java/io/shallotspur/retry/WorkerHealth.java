package io.shallotspur.retry;

/**
 * Whether a worker may receive calls.
 */
public enum WorkerHealth {

	/**
	 * The worker may receive calls.
	 */
	HEALTHY,

	/**
	 * The worker may receive one call, which probes whether it has recovered.
	 */
	PROBE,

	/**
	 * The worker must not receive calls.
	 */
	EJECTED

}
