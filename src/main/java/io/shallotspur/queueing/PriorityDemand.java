package io.shallotspur.queueing;

import java.util.Map;
import java.util.TreeMap;

/**
 * How the recent arrivals of one VM are divided among the priorities. As callers choose
 * their VM at random, the other VMs see similar shares, so a VM can tell from its own
 * arrivals what the others have to serve. Not thread-safe.
 */
public final class PriorityDemand {

	// Long enough for a few requests of each priority at a VM that gets one request a
	// second; a burst of one priority shows after a fraction of it, ms.
	private static final double MEAN_AGE_MS = 10_000;

	// A priority with less than this weight has had no arrival for several times the
	// mean age.
	private static final double NEGLIGIBLE = 0.01;

	private final TreeMap<Integer, Double> weights = new TreeMap<>();

	private long updatedAt;

	/**
	 * Records an arrival.
	 * @param priority its priority; 0 is the highest
	 * @param now the present time in milliseconds
	 */
	public void recordArrival(int priority, long now) {
		decay(now);
		this.weights.merge(priority, 1.0, Double::sum);
	}

	/**
	 * Returns the share of the recent arrivals that had a higher priority.
	 * @param priority the priority to compare with
	 * @param now the present time in milliseconds
	 * @return from 0 to 1; 0 without arrivals
	 */
	public double shareAbove(int priority, long now) {
		return share(priority, false, now);
	}

	/**
	 * Returns the share of the recent arrivals that had the same or a higher priority.
	 * @param priority the priority to compare with
	 * @param now the present time in milliseconds
	 * @return from 0 to 1; 1 if all arrivals had this priority
	 */
	public double shareAtOrAbove(int priority, long now) {
		return share(priority, true, now);
	}

	/**
	 * Returns whether requests of more than one priority have arrived recently.
	 * @param now the present time in milliseconds
	 * @return {@code false} if all had the same priority
	 */
	public boolean hasSeveralPriorities(long now) {
		decay(now);
		return this.weights.size() > 1;
	}

	private double share(int priority, boolean inclusive, long now) {
		decay(now);
		double sum = sum(this.weights);
		return (sum > 0) ? sum(this.weights.headMap(priority, inclusive)) / sum : 0;
	}

	private static double sum(Map<Integer, Double> weights) {
		return weights.values().stream().mapToDouble(Double::doubleValue).sum();
	}

	private void decay(long now) {
		if (now > this.updatedAt) {
			double factor = Math.exp((this.updatedAt - now) / MEAN_AGE_MS);
			this.weights.replaceAll((p, w) -> w * factor);
			this.weights.values().removeIf((w) -> w < NEGLIGIBLE);
			this.updatedAt = now;
		}
	}

}
