package io.shallotspur.retry;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the wait is drawn evenly between nothing and a
 * ceiling that doubles with each attempt, so that callers who failed together do not come
 * back together. Immutable and thread-safe.
 *
 * @param baseMs the ceiling before the first retry, in milliseconds
 * @param capMs the highest ceiling, in milliseconds
 */
public record Backoff(long baseMs, long capMs) {

	/**
	 * Ceilings of 20 ms, 40 ms and so on up to 1 s.
	 */
	public static final Backoff DEFAULT = new Backoff(20, 1_000);

	private static final int MAX_SHIFT = 30;

	/**
	 * Draws the wait before a retry.
	 * @param retry the number of the retry, from 1
	 * @param rnd the source of randomness
	 * @return the wait in milliseconds
	 */
	public long delay(int retry, RandomGenerator rnd) {
		int shift = Math.min(MAX_SHIFT, Math.max(0, retry - 1));
		long ceiling = Math.min(this.capMs, this.baseMs << shift);
		return rnd.nextLong(ceiling + 1);
	}

	/**
	 * Draws the wait before a retry that has to finish by a deadline.
	 * @param retry the number of the retry, from 1
	 * @param now the present time in milliseconds
	 * @param deadlineAt when the answer is of no more use, in milliseconds
	 * @param runMs how long a run is expected to take, in milliseconds
	 * @param rnd the source of randomness
	 * @return the wait in milliseconds, or empty if a retry would come too late
	 */
	public OptionalLong delayWithin(int retry, long now, long deadlineAt, long runMs, RandomGenerator rnd) {
		long room = deadlineAt - now - runMs;
		if (room < 0) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Math.min(delay(retry, rnd), room));
	}

}
