package io.shallotspur.demo;

/**
 * A line of least squares through measured points. Immutable.
 *
 * @param intercept the value at 0
 * @param slope the growth per unit of x
 * @param quality the part of the variance that the line explains, from 0 to 1
 */
public record LineFit(double intercept, double slope, double quality) {

	/**
	 * Fits a line.
	 * @param x the sizes, at least two that differ
	 * @param y what was measured at each
	 * @return the line
	 */
	public static LineFit of(double[] x, double[] y) {
		double meanX = mean(x);
		double meanY = mean(y);
		double xx = 0;
		double xy = 0;
		double yy = 0;
		for (int i = 0; i < x.length; i++) {
			xx += (x[i] - meanX) * (x[i] - meanX);
			xy += (x[i] - meanX) * (y[i] - meanY);
			yy += (y[i] - meanY) * (y[i] - meanY);
		}
		if (x.length != y.length || xx <= 0) {
			throw new IllegalArgumentException("A line needs two points that differ");
		}
		double slope = xy / xx;
		return new LineFit(meanY - slope * meanX, slope, (yy > 0) ? xy * xy / (xx * yy) : 1);
	}

	private static double mean(double[] v) {
		double sum = 0;
		for (double d : v) {
			sum += d;
		}
		return sum / v.length;
	}

}
