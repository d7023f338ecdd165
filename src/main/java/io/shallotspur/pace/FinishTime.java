package io.shallotspur.pace;

/**
 * The expected time until a worker has answered one more request, as a multiple of the
 * time that a request takes at a worker of mean pace. Stateless.
 * <p>
 * Designed for workers of different pace whose load is known from reports of different
 * age: the older the report, the sooner a wait is expected, as the true load may already
 * exceed the slots.
 */
public final class FinishTime {

	// Requests by which a load is always uncertain: those that are under way.
	private static final double MIN_DEVIATION = 0.5;

	// A request that waits makes those after it wait as well. Without this weight, all
	// would queue at the fast workers until the wait there is as long as the work at a
	// slow one.
	private static final double WAIT_WEIGHT = 2;

	private FinishTime() {
	}

	/**
	 * Returns the expected finish time.
	 * @param pace the worker's pace
	 * @param all the paces that it is compared with
	 * @param load its load
	 * @param own this VM's requests at the worker
	 * @param slots requests that it runs concurrently at most
	 * @param now the present time in milliseconds
	 * @return the time, in mean service times
	 */
	public static double of(WorkerPace pace, PaceComparison all, ReportedLoad load, int own, int slots, long now) {
		double next = load.expected(own, now) + 1;
		double excess = expectedExcess(next - slots, Math.max(MIN_DEVIATION, load.deviation(now)));
		return all.relative(pace, now) * pace.fullFactor(next, slots) * (1 + WAIT_WEIGHT * excess / Math.max(1, slots));
	}

	// The mean of the positive part of a value that is known up to a deviation.
	private static double expectedExcess(double mean, double deviation) {
		double x = mean / deviation;
		return (x > 20) ? mean : deviation * Math.log1p(Math.exp(x));
	}

}
