package io.shallotspur.gateway;

/**
 * The ratio of two sums in which each observation counts less the more have followed it.
 * Not thread-safe.
 */
final class DecayedRatio {

	private final double decay;

	private double numeratorSum;

	private double denominatorSum;

	/**
	 * Creates a ratio of nothing.
	 * @param decay by what the weight of all observations is multiplied with each new
	 * one, from 0 to 1
	 */
	DecayedRatio(double decay) {
		this.decay = decay;
	}

	void add(double numerator, double denominator) {
		this.numeratorSum = this.decay * this.numeratorSum + numerator;
		this.denominatorSum = this.decay * this.denominatorSum + denominator;
	}

	boolean hasObservations() {
		return this.denominatorSum > 0;
	}

	/**
	 * Returns the ratio.
	 * @return the ratio; 0 if nothing was observed
	 */
	double value() {
		return hasObservations() ? this.numeratorSum / this.denominatorSum : 0;
	}

}
