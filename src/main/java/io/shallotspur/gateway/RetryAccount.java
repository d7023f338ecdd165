package io.shallotspur.gateway;

import java.util.ArrayDeque;

/**
 * The retries and first attempts of one VM at one upstream. Not thread-safe.
 * <p>
 * Invariant: in any period up to the length of the window, the retries are at most
 * {@code ratio * firstAttempts + slack + 1}, with the first attempts of that period.
 */
final class RetryAccount {

	// Sums of the ratio differ from whole numbers by less.
	private static final double ROUNDING = 1e-6;

	private final double ratio;

	private final long windowMs;

	// Retries minus the ratio of the first attempts, since the start.
	private double balance;

	// Balances from before retries in the window. Both times and values increase: an
	// earlier balance that was not lower is of no use.
	private final ArrayDeque<Balance> beforeRetries = new ArrayDeque<>();

	// What the latest first attempts allow beyond the slack. A VM without a part of the
	// slack could not retry at all otherwise, as the ratio is less than one retry.
	private double credit;

	/**
	 * Creates an account without retries.
	 * @param ratio the retries for each first attempt
	 * @param windowMs the window in milliseconds
	 */
	RetryAccount(double ratio, long windowMs) {
		this.ratio = ratio;
		this.windowMs = windowMs;
	}

	void recordFirstAttempt(long now) {
		if (uncovered(now) <= 0) {
			this.credit = Math.min(Math.max(1, this.ratio), this.credit + this.ratio);
		}
		this.balance -= this.ratio;
	}

	boolean tryRetry(double slack, long now) {
		if (uncovered(now) + 1 <= slack + ROUNDING) {
			recordRetry(now);
			return true;
		}
		if (this.credit >= 1 - ROUNDING) {
			this.credit -= 1;
			return true;
		}
		return false;
	}

	private void recordRetry(long now) {
		while (!this.beforeRetries.isEmpty() && this.beforeRetries.peekLast().value() >= this.balance) {
			this.beforeRetries.removeLast();
		}
		this.beforeRetries.addLast(new Balance(now, this.balance));
		this.balance += 1;
	}

	/**
	 * Returns the retries that the ratio of the first attempts does not cover, in the
	 * period up to now for which that is most.
	 * @param now the present time in milliseconds
	 * @return the number of retries
	 */
	double uncovered(long now) {
		while (!this.beforeRetries.isEmpty() && this.beforeRetries.peekFirst().until() < now - this.windowMs) {
			this.beforeRetries.removeFirst();
		}
		return this.beforeRetries.isEmpty() ? 0 : Math.max(0, this.balance - this.beforeRetries.peekFirst().value());
	}

	/**
	 * A balance that was in force until a retry.
	 *
	 * @param until the time of the retry, in milliseconds
	 * @param value the balance
	 */
	private record Balance(long until, double value) {

	}

}
