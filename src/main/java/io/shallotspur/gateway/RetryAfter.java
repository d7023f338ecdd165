package io.shallotspur.gateway;

import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;

/**
 * When a refused caller is told to come back. Stateless.
 * <p>
 * Callers that are refused together in a burst would return together and be refused
 * again; the advice is spread over a span as long as itself.
 */
final class RetryAfter {

	// A plain worker frees a slot every few ms; a queue of a worker's length is gone
	// after this time, ms.
	private static final long PLAIN_DELAY_MS = 150;

	// Model requests hold a slot for half a second to a second, ms.
	private static final long STREAM_DELAY_MS = 500;

	// Callers heed advice up to a third of the time they have left.
	private static final double MAX_HEEDED_SHARE = 1.0 / 3;

	// The return of late callers is spread over this part of the longest advice.
	private static final double LATE_JITTER = 0.4;

	// Estimates of answers are right at the median only, and the caller may have to wait
	// for a place.
	static final double ANSWER_MARGIN = 1.5;

	private RetryAfter() {
	}

	/**
	 * Returns when a caller is to come back who can still be answered in time.
	 * @param route its route
	 * @param random a random number from 0 to 1
	 * @return milliseconds
	 */
	static long delayMs(Route route, double random) {
		long baseMs = (route.kind() == RouteKind.STREAM) ? STREAM_DELAY_MS : PLAIN_DELAY_MS;
		return baseMs + (long) (baseMs * random);
	}

	/**
	 * Returns when a caller is to come back who is refused because a quota or a limit is
	 * used up. All who are wait for the same refill, so they are spread over as long
	 * again.
	 * @param refillMs after how long there will be room, in milliseconds
	 * @param remainingMs how long the caller will still wait, in milliseconds
	 * @param random a random number from 0 to 1
	 * @return milliseconds
	 */
	static long refillDelayMs(long refillMs, long remainingMs, double random) {
		return (long) Math.min(MAX_HEEDED_SHARE * remainingMs, PLAIN_DELAY_MS + refillMs * (1 + random));
	}

	/**
	 * Returns when a caller is to come back whose answer will be late in any case. It
	 * loses nothing by coming later, and by then the burst that kept it waiting is more
	 * likely over; back at once, it would wait in vain a second time, and has no third.
	 * It must not come so late that a long answer can no longer end in time.
	 * @param remainingMs how long it will still wait, in milliseconds
	 * @param answerMs how long its answer will likely take, in milliseconds
	 * @param random a random number from 0 to 1
	 * @return milliseconds
	 */
	static long lateDelayMs(long remainingMs, long answerMs, double random) {
		double latestMs = Math.max(STREAM_DELAY_MS, remainingMs - ANSWER_MARGIN * answerMs);
		return (long) (Math.min(remainingMs * MAX_HEEDED_SHARE, latestMs) * (1 - LATE_JITTER * random));
	}

}
