package io.shallotspur.gateway;

import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;

/**
 * Computes the retry delay that a refused caller is given. Stateless.
 * <p>
 * Callers that are refused in the same burst would return at the same time and be refused
 * again, so the delays are spread at random over a period as long as the shortest delay.
 */
final class RetryAfter {

	// A plain worker frees a slot every few ms; a queue as long as a worker's is
	// processed within this time, ms.
	private static final long PLAIN_DELAY_MS = 150;

	// Model requests occupy a slot for half a second to a second, ms.
	private static final long STREAM_DELAY_MS = 500;

	// Callers follow a retry delay of up to a third of their remaining time.
	private static final double MAX_HEEDED_SHARE = 1.0 / 3;

	// The retries of late callers are spread over this fraction of the longest delay.
	private static final double LATE_JITTER = 0.4;

	// Estimated answer times are accurate only at the median, and the caller may have to
	// wait for a slot.
	static final double ANSWER_MARGIN = 1.5;

	private RetryAfter() {
	}

	/**
	 * Returns the retry delay of a caller that can still be answered in time.
	 * @param route its route
	 * @param random a random number from 0 to 1
	 * @return milliseconds
	 */
	static long delayMs(Route route, double random) {
		long baseMs = (route.kind() == RouteKind.STREAM) ? STREAM_DELAY_MS : PLAIN_DELAY_MS;
		return baseMs + (long) (baseMs * random);
	}

	/**
	 * Returns the retry delay of a caller that is refused because a quota or a rate limit
	 * is exhausted or workers pause. All such callers wait for the same refill, so their
	 * retries are spread over a further period as long as the refill time.
	 * @param refillMs the time until capacity is available, in milliseconds
	 * @param remainingMs how long the caller will still wait, in milliseconds
	 * @param random a random number from 0 to 1
	 * @return milliseconds
	 */
	static long refillDelayMs(long refillMs, long remainingMs, double random) {
		return (long) Math.min(MAX_HEEDED_SHARE * remainingMs, PLAIN_DELAY_MS + refillMs * (1 + random));
	}

	/**
	 * Returns the retry delay of a caller that is refused because too many others wait
	 * before it. By then they are likely to be served.
	 * @param queueMs the time until the queue would have served it, in milliseconds
	 * @param remainingMs how long it will still wait, in milliseconds
	 * @param answerMs the estimated duration of its answer, in milliseconds
	 * @param random a random number from 0 to 1
	 * @return milliseconds
	 */
	static long queueDelayMs(long queueMs, long remainingMs, long answerMs, double random) {
		double servedMs = STREAM_DELAY_MS + queueMs * (1 + random);
		return (long) Math.max(1, Math.min(servedMs, lateDelayMs(remainingMs, answerMs, random)));
	}

	/**
	 * Returns the retry delay of a caller whose answer will be late in any case. A longer
	 * delay costs it nothing, and by then the burst that delayed it is more likely over;
	 * an immediate retry would wait unsuccessfully a second time, and there is no third
	 * attempt. The delay must leave enough time for a long answer.
	 * @param remainingMs how long it will still wait, in milliseconds
	 * @param answerMs the estimated duration of its answer, in milliseconds
	 * @param random a random number from 0 to 1
	 * @return milliseconds
	 */
	static long lateDelayMs(long remainingMs, long answerMs, double random) {
		double latestMs = Math.max(STREAM_DELAY_MS, remainingMs - ANSWER_MARGIN * answerMs);
		return (long) (Math.min(remainingMs * MAX_HEEDED_SHARE, latestMs) * (1 - LATE_JITTER * random));
	}

}
