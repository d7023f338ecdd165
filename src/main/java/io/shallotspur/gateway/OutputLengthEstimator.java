package io.shallotspur.gateway;

/**
 * How long answers are against what their callers expected. Not thread-safe; confined to
 * the gateway's thread.
 * <p>
 * A caller's estimate is right at the median only and often far off; short estimates are
 * mostly too short and long ones too long. So the length is estimated by a regression of
 * the logarithms of both, over the answers that have ended lately, which begins with what
 * other VMs have seen, or with the estimates as they are.
 */
final class OutputLengthEstimator {

	// The last fifty answers or so.
	private static final double DECAY = 0.98;

	// What was believed before counts as much as so many answers.
	private static final double PRIOR_WEIGHT = 4;

	// The variance that the logarithms of the believed estimates are given.
	private static final double PRIOR_VARIANCE = 0.1;

	private OutputLengthModel prior = OutputLengthModel.PRIOR;

	private double count;

	private double sumX;

	private double sumY;

	private double sumXx;

	private double sumXy;

	private double sumYy;

	/**
	 * Takes what other VMs have seen.
	 * @param model their line
	 */
	void setPrior(OutputLengthModel model) {
		this.prior = model;
	}

	/**
	 * Takes an answer that has ended.
	 * @param expected what its caller expected, in tokens
	 * @param actual what it was, in tokens
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
	 * Returns the line as it is known now.
	 * @return the line
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
		OutputLengthModel modelPrior = this.prior;
		double weight = this.count / (this.count + PRIOR_WEIGHT);
		double slope = (this.count * cov + PRIOR_WEIGHT * PRIOR_VARIANCE * modelPrior.slope())
				/ (this.count * varX + PRIOR_WEIGHT * PRIOR_VARIANCE);
		double centerY = weight * meanY + (1 - weight) * modelPrior.estimateLogTokens(meanX);
		double residualVariance = Math.max(0, varY - 2 * slope * cov + slope * slope * varX);
		double deviation = Math.sqrt(weight * residualVariance + (1 - weight) * modelPrior.deviation() * modelPrior.deviation());
		return new OutputLengthModel(centerY - slope * meanX, slope, deviation);
	}

}
