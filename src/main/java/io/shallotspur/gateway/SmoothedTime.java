package io.shallotspur.gateway;

/**
 * A moving average of times and of their mean deviation, as in TCP's round-trip time
 * estimate. The first time initializes the mean, with half of it as the deviation. Not
 * thread-safe.
 */
final class SmoothedTime {

	private final double weight;

	private boolean initialized;

	private double meanMs;

	private double deviationMs;

	/**
	 * Creates an average without samples.
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
	 * Returns the mean plus a number of deviations.
	 * @param deviations the number of deviations
	 * @return milliseconds; 0 if nothing was added
	 */
	double estimateMs(double deviations) {
		return this.meanMs + deviations * this.deviationMs;
	}

}
