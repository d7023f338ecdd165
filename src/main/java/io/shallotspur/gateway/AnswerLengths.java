package io.shallotspur.gateway;

/**
 * How long answers are against what their callers expected. Not thread-safe; confined to
 * the gateway's thread.
 * <p>
 * A caller's estimate is right at the median only and often far off; short estimates are
 * mostly too short and long ones too long. So the length is estimated by a regression of
 * the logarithms of both, over the answers that have ended lately. Before any has, an
 * estimate stands for itself.
 */
final class AnswerLengths {

	// The last fifty answers or so.
	private static final double DECAY = 0.98;

	// What is believed before the first answers, as if so many had been seen: a longer
	// estimate means an answer longer by as much, and half of the answers are longer than
	// estimated by no more than this factor.
	private static final double BELIEVED = 4;

	private static final double BELIEVED_DEVIATION = 0.3;

	private double n;

	private double x;

	private double y;

	private double xx;

	private double xy;

	private double yy;

	/**
	 * Takes an answer that has ended.
	 * @param expected what its caller expected, in tokens
	 * @param actual what it was, in tokens
	 */
	void ended(int expected, int actual) {
		double lx = Math.log(Math.max(1, expected));
		double ly = Math.log(Math.max(1, actual));
		this.n = DECAY * this.n + 1;
		this.x = DECAY * this.x + lx;
		this.y = DECAY * this.y + ly;
		this.xx = DECAY * this.xx + lx * lx;
		this.xy = DECAY * this.xy + lx * ly;
		this.yy = DECAY * this.yy + ly * ly;
	}

	/**
	 * Estimates the length of an answer.
	 * @param expected what its caller expects, in tokens
	 * @param deviations by how many deviations of answers from their estimate it may be
	 * longer
	 * @return tokens
	 */
	double tokens(int expected, double deviations) {
		double lx = Math.log(Math.max(1, expected));
		if (this.n == 0) {
			return Math.exp(lx + deviations * BELIEVED_DEVIATION);
		}
		double meanX = this.x / this.n;
		double meanY = this.y / this.n;
		double varX = Math.max(0, this.xx / this.n - meanX * meanX);
		double cov = this.xy / this.n - meanX * meanY;
		double varY = Math.max(0, this.yy / this.n - meanY * meanY);
		double believedVar = BELIEVED_DEVIATION * BELIEVED_DEVIATION;
		double w = this.n / (this.n + BELIEVED);
		double slope = (this.n * cov + BELIEVED * believedVar) / (this.n * varX + BELIEVED * believedVar);
		double offset = w * (meanY - meanX);
		double rest = Math.max(0, varY - 2 * slope * cov + slope * slope * varX);
		double deviation = Math.sqrt(w * rest + (1 - w) * believedVar);
		return Math.exp(meanX + offset + slope * (lx - meanX) + deviations * deviation);
	}

}
