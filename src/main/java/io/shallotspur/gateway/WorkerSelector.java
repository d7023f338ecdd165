package io.shallotspur.gateway;

import java.util.List;
import java.util.Optional;

import io.shallotspur.pace.PaceComparison;

/**
 * Selects the worker with the lowest cost for one attempt. Stateless; the present time
 * and the source of random numbers are arguments.
 */
final class WorkerSelector {

	// A worker in another hall is selected only if the local one is busier by this
	// fraction of its slots. Traffic between halls has a cost, but waiting for a slot
	// costs more.
	private static final double REMOTE_HALL_COST = 0.3;

	// Cost of a worker whose recent requests all failed, as a multiple of its slots: it
	// is avoided until all others have twice the load that they can handle.
	private static final double FAILURE_COST = 4;

	// A worker that has just started is slower than its load indicates.
	private static final double WARM_UP_COST = 0.5;

	// Breaks ties at random. Without it, VMs that all see idle workers would select the
	// same one.
	private static final double JITTER = 0.05;

	private WorkerSelector() {
	}

	static Optional<WorkerState> leastCost(List<WorkerState> candidates, String hall, RandomSource random, long now) {
		PaceComparison paces = PaceComparison.of(candidates.stream().map(WorkerState::pace).toList());
		WorkerState best = null;
		double lowestCost = Double.MAX_VALUE;
		for (WorkerState w : candidates) {
			double workerCost = cost(w, paces, hall, now) + JITTER * random.next();
			if (workerCost < lowestCost) {
				lowestCost = workerCost;
				best = w;
			}
		}
		return Optional.ofNullable(best);
	}

	// Where all workers have the same pace, shares of their slots spread the load better
	// than finish times, which are equal until a worker is full.
	private static double cost(WorkerState w, PaceComparison paces, String hall, long now) {
		double load = paces.isUneven() ? w.finishTime(paces, now) : w.utilization(now);
		double total = load + FAILURE_COST * w.failureRate();
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
