package io.shallotspur.gateway;

/**
 * A running mean of times and their mean deviation from it, as for the round trips of a
 * transport connection. The first time stands for itself, with half of it as deviation.
 * Not thread-safe.
 */
final class SmoothedTime {

	private final double weight;

	private boolean initialized;

	private double meanMs;

	private double deviationMs;

	/**
	 * Creates a mean of nothing.
	 * @param weight the weight of the newest time, from 0 to 1
	 */
	SmoothedTime(double weight) {
		this.weight = weight;
	}

	void add(double ms) {
		if (!this.initialized) {
			this.initialized = true;
			this.meanMs = ms;
			this.deviationMs = ms / 2;
			return;
		}
		this.deviationMs += this.weight * (Math.abs(ms - this.meanMs) - this.deviationMs);
		this.meanMs += this.weight * (ms - this.meanMs);
	}

	/**
	 * Returns the mean and some deviations.
	 * @param deviations how many deviations
	 * @return milliseconds; 0 if nothing was added
	 */
	double estimateMs(double deviations) {
		return this.meanMs + deviations * this.deviationMs;
	}

}
