package io.shallotspur.gateway;

/**
 * The ratio of two exponentially decayed sums: the weight of an observation decreases
 * with each later one. Not thread-safe.
 */
final class DecayedRatio {

	private final double decay;

	private double numeratorSum;

	private double denominatorSum;

	/**
	 * Creates a ratio without observations.
	 * @param decay the factor by which each new observation reduces the weight of all
	 * earlier ones, from 0 to 1
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
	 * @return the ratio; 0 without observations
	 */
	double value() {
		return hasObservations() ? this.numeratorSum / this.denominatorSum : 0;
	}

}
