package io.shallotspur.retry;

/**
 * Settings of a retry budget, which apply to each customer. Immutable.
 *
 * @param ratio allowed retries per first attempt, 0.1 for one in ten
 * @param minRetries retries allowed within a window regardless of the number of first
 * attempts
 * @param windowMs time constant of the exponential decay in milliseconds: after this time
 * an attempt counts for about a third (1/e)
 * @param maxCustomers maximum number of tracked customers; the least recently active one
 * is evicted first
 */
public record RetryBudgetSettings(double ratio, double minRetries, long windowMs, int maxCustomers) {

	/**
	 * One retry per ten first attempts, a minimum of two retries, and a window of ten
	 * seconds.
	 */
	public static final RetryBudgetSettings DEFAULT = new RetryBudgetSettings(0.1, 2, 10_000, 65_536);

}
