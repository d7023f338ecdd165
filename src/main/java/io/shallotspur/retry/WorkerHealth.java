package io.shallotspur.retry;

/**
 * Whether a worker is to be given calls.
 */
public enum WorkerHealth {

	/**
	 * Gets calls.
	 */
	HEALTHY,

	/**
	 * May be given one call, which shows whether it is well again.
	 */
	PROBE,

	/**
	 * Gets no calls.
	 */
	EJECTED

}
