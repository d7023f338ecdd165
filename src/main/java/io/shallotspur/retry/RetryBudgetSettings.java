package io.shallotspur.retry;

/**
 * Bounds of the retries of each customer. Immutable.
 *
 * @param ratio retries for each first try, 0.1 for one in ten
 * @param floor retries that are allowed in a window however few first tries there were
 * @param windowMs after this many milliseconds a try counts for a third (1/e)
 * @param maxCustomers the most customers remembered; the one that was idle longest goes
 * first
 */
public record RetryBudgetSettings(double ratio, double floor, long windowMs, int maxCustomers) {

	/**
	 * One retry in ten first tries, two for the idle, a window of ten seconds.
	 */
	public static final RetryBudgetSettings DEFAULT = new RetryBudgetSettings(0.1, 2, 10_000, 65_536);

}
