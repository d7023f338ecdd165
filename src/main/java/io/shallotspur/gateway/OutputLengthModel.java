package io.shallotspur.gateway;

/**
 * How the lengths of answers follow from what callers expect, as a line through the
 * logarithms of both. Immutable.
 *
 * @param intercept the logarithm of an answer that is expected to have one token
 * @param slope by what the logarithm of an answer grows with that of its estimate: 1
 * where estimates are right, 0 where they say nothing
 * @param deviation the deviation of the logarithm of an answer from the line
 */
public record OutputLengthModel(double intercept, double slope, double deviation) {

	// What is believed before any answer has ended: a longer estimate means an answer
	// longer by as much, and answers are longer or shorter than estimated by a third.
	private static final double PRIOR_DEVIATION = 0.3;

	/** Each estimate stands for itself. */
	public static final OutputLengthModel PRIOR = new OutputLengthModel(0, 1, PRIOR_DEVIATION);

	/**
	 * Estimates the length of an answer.
	 * @param expected what its caller expects, in tokens
	 * @param deviations by how many deviations it may be longer than the line says
	 * @return tokens
	 */
	public double estimateTokens(int expected, double deviations) {
		return Math.exp(estimateLogTokens(Math.log(Math.max(1, expected))) + deviations * this.deviation);
	}

	double estimateLogTokens(double logExpected) {
		return this.intercept + this.slope * logExpected;
	}

	/**
	 * Returns a line between two.
	 * @param weight the weight of this one, from 0 to 1
	 * @param other the other one
	 * @return the weighted mean of both
	 */
	public OutputLengthModel weightedMean(double weight, OutputLengthModel other) {
		double thisWeight = weight;
		double otherWeight = 1 - weight;
		return new OutputLengthModel(thisWeight * this.intercept + otherWeight * other.intercept, thisWeight * this.slope + otherWeight * other.slope,
				thisWeight * this.deviation + otherWeight * other.deviation);
	}

}
