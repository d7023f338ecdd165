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
final class AnswerLengths {

	// The last fifty answers or so.
	private static final double DECAY = 0.98;

	// What was believed before counts as much as so many answers.
	private static final double BELIEVED = 4;

	// The variance that the logarithms of the believed estimates are given.
	private static final double BELIEVED_VARIANCE = 0.1;

	private LengthModel believed = LengthModel.BELIEVED;

	private double n;

	private double x;

	private double y;

	private double xx;

	private double xy;

	private double yy;

	/**
	 * Takes what other VMs have seen.
	 * @param model their line
	 */
	void heard(LengthModel model) {
		this.believed = model;
	}

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
	 * Returns the line as it is known now.
	 * @return the line
	 */
	LengthModel model() {
		if (this.n == 0) {
			return this.believed;
		}
		double meanX = this.x / this.n;
		double meanY = this.y / this.n;
		double varX = Math.max(0, this.xx / this.n - meanX * meanX);
		double cov = this.xy / this.n - meanX * meanY;
		double varY = Math.max(0, this.yy / this.n - meanY * meanY);
		LengthModel b = this.believed;
		double w = this.n / (this.n + BELIEVED);
		double slope = (this.n * cov + BELIEVED * BELIEVED_VARIANCE * b.slope())
				/ (this.n * varX + BELIEVED * BELIEVED_VARIANCE);
		double middle = w * meanY + (1 - w) * b.logTokens(meanX);
		double rest = Math.max(0, varY - 2 * slope * cov + slope * slope * varX);
		double deviation = Math.sqrt(w * rest + (1 - w) * b.deviation() * b.deviation());
		return new LengthModel(middle - slope * meanX, slope, deviation);
	}

}
