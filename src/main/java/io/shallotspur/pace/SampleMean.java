package io.shallotspur.pace;

/**
 * The mean of recent samples, and how well it is known; in the unit of the samples. Not
 * thread-safe.
 */
final class SampleMean {

	// Samples that count. More would follow a change of pace too slowly, fewer would take
	// the spread of request sizes for a difference between workers.
	private static final int WINDOW = 64;

	private static final int MIN_SAMPLES = 5;

	// Number of samples from which on they count more than the mean of all workers.
	private static final double PRIOR_SAMPLES = 4;

	// A few samples may be alike by chance; requests vary by at least this share.
	private static final double MIN_SPREAD = 0.3;

	private int count;

	private double mean;

	private double variance;

	void add(double value) {
		this.count = Math.min(WINDOW, this.count + 1);
		double weight = 1.0 / this.count;
		double difference = value - this.mean;
		this.mean += weight * difference;
		this.variance = (1 - weight) * (this.variance + weight * difference * difference);
	}

	boolean isKnown() {
		return this.count >= MIN_SAMPLES;
	}

	double mean() {
		return this.mean;
	}

	double standardError() {
		double spread = Math.max(Math.sqrt(this.variance), MIN_SPREAD * this.mean);
		return spread / Math.sqrt(Math.max(1, this.count));
	}

	// Weight of these samples against the mean of all workers, from 0 to 1.
	double confidence() {
		return this.count / (this.count + PRIOR_SAMPLES);
	}

}
