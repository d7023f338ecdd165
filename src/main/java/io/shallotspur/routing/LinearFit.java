package io.shallotspur.routing;

/**
 * Online linear regression of {@code y = intercept + slope * x} with exponentially
 * decaying sample weights. The slope is regularized towards a prior, so that samples of
 * similar size do not produce an arbitrary slope.
 * <p>
 * Invariant: the prediction is finite and never negative. Not thread-safe.
 */
public final class LinearFit {

	private static final double PRIOR_SAMPLES = 4;

	private final double priorSlope;

	private final double ridge;

	private final double decay;

	private double weight;

	private double meanX;

	private double meanY;

	private double varX;

	private double covXy;

	/**
	 * Creates a fit that starts from a prior.
	 * @param intercept the expected value at 0
	 * @param slope the expected increase per unit of x
	 * @param typicalX the x at which the prior is most reliable, greater than 0
	 * @param decay the factor by which each new sample reduces the weight of earlier
	 * ones, between 0 and 1
	 */
	public LinearFit(double intercept, double slope, double typicalX, double decay) {
		this.priorSlope = slope;
		this.ridge = PRIOR_SAMPLES * typicalX * typicalX * 0.01;
		this.decay = decay;
		this.weight = 1;
		this.meanX = typicalX;
		this.meanY = intercept + slope * typicalX;
	}

	/**
	 * Adds a sample. It is ignored if a value is not finite or y is negative.
	 * @param x the size of the work
	 * @param y its measured duration
	 */
	public void observe(double x, double y) {
		if (!Double.isFinite(x) || !Double.isFinite(y) || y < 0) {
			return;
		}
		double newWeight = this.weight * this.decay + 1;
		double dx = x - this.meanX;
		double dy = y - this.meanY;
		this.meanX += dx / newWeight;
		this.meanY += dy / newWeight;
		this.varX = this.varX * this.decay + dx * (x - this.meanX);
		this.covXy = this.covXy * this.decay + dx * (y - this.meanY);
		this.weight = newWeight;
	}

	/**
	 * Predicts the duration of work of a given size.
	 * @param x the size of the work
	 * @return the prediction, at least 0
	 */
	public double predict(double x) {
		return Math.max(0, this.meanY + slope() * (x - this.meanX));
	}

	/**
	 * Returns the estimated slope.
	 * @return the increase per unit of x, at least 0
	 */
	public double slope() {
		return Math.max(0, (this.covXy + this.ridge * this.priorSlope) / (this.varX + this.ridge));
	}

	/**
	 * Returns the largest x whose prediction does not exceed a limit.
	 * @param limit the limit of y
	 * @return the largest x; negative if the prediction at 0 exceeds the limit
	 */
	public double maxXWithin(double limit) {
		double slope = slope();
		double intercept = this.meanY - slope * this.meanX;
		if (slope <= 0) {
			return (intercept <= limit) ? Double.MAX_VALUE : -1;
		}
		return (limit - intercept) / slope;
	}

}
