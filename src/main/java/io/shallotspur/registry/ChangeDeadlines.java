package io.shallotspur.registry;

/**
 * How soon a VM has to act on what the registry tells. Immutable.
 *
 * @param workerDrainMs how long after a worker's entry tells that it leaves, or is gone,
 * the worker may still get requests, in milliseconds
 * @param configApplyMs how long after a configuration is acknowledged an older one may
 * still be in force, in milliseconds
 */
public record ChangeDeadlines(long workerDrainMs, long configApplyMs) {

	// A VM that stands by hears of changes so long before it must act on them, ms: time
	// for the answer of a slow store, and for a lost packet. Nine tenths of a large fleet
	// stand by, and each change costs a call of each VM that hears of it alone.
	private static final long STANDBY_MARGIN_MS = 1_000;

	// The longest for which a VM that serves gathers changes, ms: a quarter of the time
	// for a configuration.
	static final long MAX_BATCH_MS = 500;

	// The answer of a slow store, ms.
	private static final long CALL_MS = 500;

	/**
	 * Returns for how long a VM that stands by gathers changes.
	 * @return milliseconds; negative if it may not
	 */
	long standbyBatchMs() {
		return Math.min(this.workerDrainMs, this.configApplyMs) - STANDBY_MARGIN_MS;
	}

	/**
	 * Returns how long after a change every VM that reaches the store has heard of it.
	 * @return milliseconds
	 */
	public long propagationMs() {
		return Math.max(MAX_BATCH_MS, standbyBatchMs()) + CALL_MS;
	}

}
