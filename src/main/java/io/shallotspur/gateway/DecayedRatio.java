package io.shallotspur.gateway;

/**
 * The ratio of two sums in which each observation counts less the more have followed it.
 * Not thread-safe.
 */
final class DecayedRatio {

	private final double decay;

	private double above;

	private double below;

	/**
	 * Creates a ratio of nothing.
	 * @param decay by what the weight of all observations is multiplied with each new
	 * one, from 0 to 1
	 */
	DecayedRatio(double decay) {
		this.decay = decay;
	}

	void add(double numerator, double denominator) {
		this.above = this.decay * this.above + numerator;
		this.below = this.decay * this.below + denominator;
	}

	boolean isKnown() {
		return this.below > 0;
	}

	/**
	 * Returns the ratio.
	 * @return the ratio; 0 if nothing was observed
	 */
	double value() {
		return isKnown() ? this.above / this.below : 0;
	}

}
