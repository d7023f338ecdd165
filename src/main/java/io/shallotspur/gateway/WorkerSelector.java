package io.shallotspur.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the worker of one attempt. Stateless; the present time and a random number are
 * arguments.
 */
final class WorkerSelector {

	// A worker in another hall is taken only when the near one is busier by this part of
	// its slots. Bytes between halls cost, waiting for a slot costs more.
	private static final double REMOTE_HALL_COST = 0.3;

	// Cost of a worker that failed each of its last requests, in parts of its slots: it
	// is passed over until all others are twice as busy as they can bear.
	private static final double FAILURE_COST = 4;

	// A worker that has just started is slower than its load tells.
	private static final double WARM_UP_COST = 0.5;

	// Breaks ties at random. Without it, VMs that all see idle workers
	// choose the same one.
	private static final double JITTER = 0.05;

	private WorkerSelector() {
	}

	static Optional<WorkerState> leastCost(List<WorkerState> candidates, String hall, RandomSource random, long now) {
		WorkerState best = null;
		double lowestCost = Double.MAX_VALUE;
		for (WorkerState w : candidates) {
			double workerCost = cost(w, hall, now) + JITTER * random.next();
			if (workerCost < lowestCost) {
				lowestCost = workerCost;
				best = w;
			}
		}
		return Optional.ofNullable(best);
	}

	static double cost(WorkerState w, String hall, long now) {
		double total = w.utilization(now) + FAILURE_COST * w.failureRate();
		if (!w.info().hall().equals(hall)) {
			total += REMOTE_HALL_COST;
		}
		if (w.isWarmingUp(now)) {
			total += WARM_UP_COST;
		}
		return total;
	}

	/**
	 * A source of random numbers from 0 (inclusive) to 1 (exclusive).
	 */
	@FunctionalInterface
	interface RandomSource {

		double next();

	}

}
