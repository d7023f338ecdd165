package io.shallotspur.gateway;

/**
 * Estimates output lengths from the lengths that callers expect. Not thread-safe;
 * confined to the gateway's thread.
 * <p>
 * A caller's estimate is correct only at the median and often far off; short estimates
 * are mostly too short and long ones too long. The length is therefore estimated by a
 * regression of the logarithms of both, over the recently completed responses. Its prior
 * is the model of other VMs, or the estimates as they are.
 */
final class OutputLengthEstimator {

	// About the last fifty responses count.
	private static final double DECAY = 0.98;

	// Weight of the prior, as a number of responses.
	private static final double PRIOR_WEIGHT = 4;

	// Variance of the logarithms of the estimates behind the prior.
	private static final double PRIOR_VARIANCE = 0.1;

	private OutputLengthModel prior = OutputLengthModel.PRIOR;

	private double count;

	private double sumX;

	private double sumY;

	private double sumXx;

	private double sumXy;

	private double sumYy;

	/**
	 * Sets the model of other VMs as the prior.
	 * @param model their model
	 */
	void setPrior(OutputLengthModel model) {
		this.prior = model;
	}

	/**
	 * Adds a completed response.
	 * @param expected the length that its caller expected, in tokens
	 * @param actual its length, in tokens
	 */
	void add(int expected, int actual) {
		double logExpected = Math.log(Math.max(1, expected));
		double logActual = Math.log(Math.max(1, actual));
		this.count = DECAY * this.count + 1;
		this.sumX = DECAY * this.sumX + logExpected;
		this.sumY = DECAY * this.sumY + logActual;
		this.sumXx = DECAY * this.sumXx + logExpected * logExpected;
		this.sumXy = DECAY * this.sumXy + logExpected * logActual;
		this.sumYy = DECAY * this.sumYy + logActual * logActual;
	}

	/**
	 * Returns the current model.
	 * @return the model
	 */
	OutputLengthModel model() {
		if (this.count == 0) {
			return this.prior;
		}
		double meanX = this.sumX / this.count;
		double meanY = this.sumY / this.count;
		double varX = Math.max(0, this.sumXx / this.count - meanX * meanX);
		double cov = this.sumXy / this.count - meanX * meanY;
		double varY = Math.max(0, this.sumYy / this.count - meanY * meanY);
		OutputLengthModel priorModel = this.prior;
		double weight = this.count / (this.count + PRIOR_WEIGHT);
		double slope = (this.count * cov + PRIOR_WEIGHT * PRIOR_VARIANCE * priorModel.slope())
				/ (this.count * varX + PRIOR_WEIGHT * PRIOR_VARIANCE);
		double centerY = weight * meanY + (1 - weight) * priorModel.estimateLogTokens(meanX);
		double residualVariance = Math.max(0, varY - 2 * slope * cov + slope * slope * varX);
		double deviation = Math
			.sqrt(weight * residualVariance + (1 - weight) * priorModel.deviation() * priorModel.deviation());
		return new OutputLengthModel(centerY - slope * meanX, slope, deviation);
	}

}
