package io.shallotspur.queueing;

/**
 * How long callers wait for a response before they disconnect. Stateless.
 */
public final class CallerPatience {

	// Callers abandon a stream that is silent for the longest of these times, also before
	// its first event.
	private static final long MIN_SILENCE_MS = 2_000;

	private static final int SILENCE_OBJECTIVES = 4;

	private static final int SILENCE_GAPS = 8;

	private CallerPatience() {
	}

	/**
	 * Returns how long the caller of a stream waits for its next event.
	 * @param objectiveMs the latency objective of its route, in milliseconds
	 * @param maxGapMs the longest gap between two events that meets the objective, in
	 * milliseconds; 0 for no limit
	 * @return milliseconds
	 */
	public static long streamMs(long objectiveMs, long maxGapMs) {
		return Math.max(MIN_SILENCE_MS, Math.max(SILENCE_OBJECTIVES * objectiveMs, SILENCE_GAPS * maxGapMs));
	}

}
