package io.shallotspur.retry;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the delay is uniformly distributed between zero
 * and a ceiling that doubles with each retry, so that callers that failed at the same
 * time do not retry at the same time. Immutable and thread-safe.
 *
 * @param baseMs the ceiling for the first retry, in milliseconds
 * @param capMs the maximum ceiling, in milliseconds
 */
public record Backoff(long baseMs, long capMs) {

	/**
	 * Backoff with ceilings of 20 ms, 40 ms and so on up to 1 s.
	 */
	public static final Backoff DEFAULT = new Backoff(20, 1_000);

	private static final int MAX_SHIFT = 30;

	/**
	 * Returns a random delay before a retry.
	 * @param retry the number of the retry, starting at 1
	 * @param random the source of randomness
	 * @return the delay in milliseconds
	 */
	public long delay(int retry, RandomGenerator random) {
		int shift = Math.min(MAX_SHIFT, Math.max(0, retry - 1));
		long ceiling = Math.min(this.capMs, this.baseMs << shift);
		return random.nextLong(ceiling + 1);
	}

	/**
	 * Returns a random delay before a retry that has to complete by a deadline.
	 * @param retry the number of the retry, starting at 1
	 * @param now the current time in milliseconds
	 * @param deadline the time after which the response is useless, in milliseconds
	 * @param expectedRunMs the expected duration of the retried request, in milliseconds
	 * @param random the source of randomness
	 * @return the delay in milliseconds, or empty if a retry would miss the deadline
	 */
	public OptionalLong delayWithin(int retry, long now, long deadline, long expectedRunMs, RandomGenerator random) {
		long maxDelay = deadline - now - expectedRunMs;
		if (maxDelay < 0) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.min(delay(retry, random), maxDelay));
	}

}
