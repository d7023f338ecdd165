package io.shallotspur.adapter.http;

/**
 * The timeout for the next bytes of a response. Stateless.
 * <p>
 * A long response over a slow link must not end while it arrives, so the whole response
 * has no timeout. One that stalls or trickles must end, as its call would never be made
 * again.
 * <p>
 * Invariant: a response that arrives at less than the minimum rate of 16 bytes a
 * millisecond times out after {@link #START_MS} and the time that its bytes take at that
 * rate.
 */
public final class StallTimeout {

	/** The timeout for the first bytes of a body, in milliseconds. */
	public static final long START_MS = 1_000;

	private static final long MIN_BYTES_PER_MS = 16;

	private StallTimeout() {
	}

	/**
	 * Returns the timeout for the next bytes.
	 * @param bytes what has arrived, in bytes
	 * @param elapsedMs the time since the body began, in milliseconds
	 * @return milliseconds; 0 if the body arrives too slowly
	 */
	public static long remainingMs(long bytes, long elapsedMs) {
		return Math.max(0, Math.min(START_MS, START_MS + bytes / MIN_BYTES_PER_MS - elapsedMs));
	}

}
