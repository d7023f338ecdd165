package io.shallotspur.queueing;

/**
 * How long requests may wait before their callers disconnect. Stateless.
 */
public final class CallerPatience {

	// Callers abandon a stream that is silent for the longest of these times, also before
	// its first event.
	private static final long MIN_SILENCE_MS = 2_000;

	private static final int SILENCE_OBJECTIVES = 4;

	private static final int SILENCE_GAPS = 8;

	// The rest is for the prefill and the first event.
	private static final double WAIT_SHARE = 0.75;

	private CallerPatience() {
	}

	/**
	 * Returns how long a stream may wait for a worker.
	 * @param objectiveMs the latency objective of its route, in milliseconds
	 * @param maxGapMs the longest gap between two events that meets the objective, in
	 * milliseconds; 0 for no limit
	 * @return milliseconds
	 */
	public static long maxWaitMs(long objectiveMs, long maxGapMs) {
		long patienceMs = Math.max(SILENCE_OBJECTIVES * objectiveMs, SILENCE_GAPS * maxGapMs);
		return (long) (WAIT_SHARE * Math.max(MIN_SILENCE_MS, patienceMs));
	}

}
