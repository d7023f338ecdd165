package io.shallotspur.gateway;

/**
 * A log-linear model of the output length as a function of the length that the caller
 * expects. Immutable.
 *
 * @param intercept the logarithm of the length of a response that is expected to have one
 * token
 * @param slope the growth of the logarithm of the length with that of its estimate: 1
 * where estimates are accurate, 0 where they carry no information
 * @param deviation the standard deviation of the logarithm of the length from the model
 */
public record OutputLengthModel(double intercept, double slope, double deviation) {

	// Prior before any response has completed: lengths are proportional to the estimates,
	// and longer or shorter than these by a third.
	private static final double PRIOR_DEVIATION = 0.3;

	/** The model in which each estimate is taken as it is. */
	public static final OutputLengthModel PRIOR = new OutputLengthModel(0, 1, PRIOR_DEVIATION);

	/**
	 * Estimates the length of a response.
	 * @param expected the length that its caller expects, in tokens
	 * @param deviations number of deviations to add to the estimate
	 * @return tokens
	 */
	public double estimateTokens(int expected, double deviations) {
		return Math.exp(estimateLogTokens(Math.log(Math.max(1, expected))) + deviations * this.deviation);
	}

	double estimateLogTokens(double logExpected) {
		return this.intercept + this.slope * logExpected;
	}

	/**
	 * Returns the weighted mean of two models.
	 * @param weight the weight of this one, from 0 to 1
	 * @param other the other one
	 * @return the weighted mean of both
	 */
	public OutputLengthModel weightedMean(double weight, OutputLengthModel other) {
		double thisWeight = weight;
		double otherWeight = 1 - weight;
		return new OutputLengthModel(thisWeight * this.intercept + otherWeight * other.intercept,
				thisWeight * this.slope + otherWeight * other.slope,
				thisWeight * this.deviation + otherWeight * other.deviation);
	}

}
