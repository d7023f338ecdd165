package io.shallotspur.routing;

/**
 * An online fit of {@code y = intercept + slope * x} that forgets old samples. The slope
 * is drawn towards a prior, so that samples of one size alone do not send it astray.
 * <p>
 * Invariant: the prediction is finite and never negative. Not thread-safe.
 */
public final class LinearFit {

	private static final double PRIOR_SAMPLES = 4;

	private final double priorSlope;

	private final double ridge;

	private final double memory;

	private double weight;

	private double meanX;

	private double meanY;

	private double varX;

	private double covXy;

	/**
	 * Creates a fit that starts from a prior.
	 * @param intercept the value expected at 0
	 * @param slope the growth expected per unit of x
	 * @param typicalX the x at which the prior is trusted most, over 0
	 * @param memory the part of the weight of old samples that each new one leaves them,
	 * between 0 and 1
	 */
	public LinearFit(double intercept, double slope, double typicalX, double memory) {
		this.priorSlope = slope;
		this.ridge = PRIOR_SAMPLES * typicalX * typicalX * 0.01;
		this.memory = memory;
		this.weight = 1;
		this.meanX = typicalX;
		this.meanY = intercept + slope * typicalX;
	}

	/**
	 * Adds a sample.
	 * @param x the size of the work
	 * @param y what it took
	 */
	public void observe(double x, double y) {
		if (!Double.isFinite(x) || !Double.isFinite(y) || y < 0) {
			return;
		}
		double w = this.weight * this.memory + 1;
		double dx = x - this.meanX;
		double dy = y - this.meanY;
		this.meanX += dx / w;
		this.meanY += dy / w;
		this.varX = this.varX * this.memory + dx * (x - this.meanX);
		this.covXy = this.covXy * this.memory + dx * (y - this.meanY);
		this.weight = w;
	}

	/**
	 * Predicts what work of a size takes.
	 * @param x the size of the work
	 * @return the prediction, at least 0
	 */
	public double predict(double x) {
		return Math.max(0, this.meanY + slope() * (x - this.meanX));
	}

	/**
	 * Returns the learnt slope.
	 * @return the growth per unit of x, at least 0
	 */
	public double slope() {
		return Math.max(0, (this.covXy + this.ridge * this.priorSlope) / (this.varX + this.ridge));
	}

	/**
	 * Returns the largest x whose prediction stays within a limit.
	 * @param limit the limit of y
	 * @return the largest x; negative if even 0 is over the limit
	 */
	public double largestWithin(double limit) {
		double s = slope();
		double atZero = this.meanY - s * this.meanX;
		if (s <= 0) {
			return (atZero <= limit) ? Double.MAX_VALUE : -1;
		}
		return (limit - atZero) / s;
	}

}
