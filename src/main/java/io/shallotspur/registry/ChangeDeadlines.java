package io.shallotspur.registry;

/**
 * The deadlines by which an entry VM must act on registry changes. Immutable.
 *
 * @param workerDrainMs how long requests may still be sent to a worker after its entry
 * was set to draining or removed, in milliseconds
 * @param configApplyMs how long an older configuration may stay in force after a new one
 * was acknowledged, in milliseconds
 * @param lostCallMs how long after a call to the store or a connection to it was lost
 * changes may still be unknown, in milliseconds
 * @param workerHeartbeatMs the interval at which workers renew their entries, in
 * milliseconds
 */
public record ChangeDeadlines(long workerDrainMs, long configApplyMs, long lostCallMs, long workerHeartbeatMs) {

	// A standby VM learns of changes this long before the deadline, ms. This leaves time
	// for a slow response of the store and for one lost packet. Nine tenths of a large
	// fleet are on standby, and each VM that fetches a change separately costs one call.
	private static final long STANDBY_MARGIN_MS = 1_000;

	// Maximum time for which a serving VM batches changes, ms; a quarter of the time
	// allowed for applying a configuration.
	static final long MAX_BATCH_MS = 500;

	// Response time of a slow store, ms.
	private static final long CALL_MS = 500;

	// A watch that was lost is noticed this long after its wait has ended, ms: the time
	// for a late response. The poll that replaces it takes the rest.
	private static final long LOST_WATCH_MARGIN_MS = 1_200;

	// Calls are billed, and a longer wait returns the same changes with fewer calls. Half
	// of the maximum wait that the store allows, ms.
	private static final long MAX_WATCH_MS = 15_000;

	private static final long MIN_WATCH_MS = 300;

	/**
	 * Returns how long a watch waits for changes. A watch that was lost looks like one
	 * without changes until then.
	 * @return milliseconds
	 */
	long watchMs() {
		return Math.max(MIN_WATCH_MS, Math.min(MAX_WATCH_MS, this.lostCallMs - LOST_WATCH_MARGIN_MS));
	}

	/**
	 * Returns for how long a standby VM batches changes.
	 * @return milliseconds; negative if it must not batch
	 */
	long standbyBatchMs() {
		return Math.min(this.workerDrainMs, this.configApplyMs) - STANDBY_MARGIN_MS;
	}

	/**
	 * Returns the time after which every VM that reaches the store knows of a change.
	 * @return milliseconds
	 */
	public long propagationMs() {
		return Math.max(MAX_BATCH_MS, standbyBatchMs()) + CALL_MS;
	}

}
