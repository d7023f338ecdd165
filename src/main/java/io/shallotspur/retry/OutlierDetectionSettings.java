package io.shallotspur.retry;

/**
 * Settings of the outlier detection. Immutable.
 *
 * @param consecutiveFailures number of consecutive failures after which a worker is
 * ejected
 * @param latencyFactor a worker is ejected if its mean latency exceeds the median of the
 * other workers multiplied by this factor; 0 to ignore latency
 * @param minSamples number of responses after which the latency of a worker is considered
 * @param maxEjectedFraction maximum fraction of the workers that may be ejected at the
 * same time; of two or more workers, one may always be ejected
 * @param baseEjectionMs duration of the first ejection, in milliseconds; it doubles with
 * each subsequent ejection
 * @param maxEjectionMs maximum duration of an ejection, in milliseconds
 * @param probeSuccesses number of consecutive successful probes after which a worker is
 * restored
 */
public record OutlierDetectionSettings(int consecutiveFailures, double latencyFactor, int minSamples,
		double maxEjectedFraction, long baseEjectionMs, long maxEjectionMs, int probeSuccesses) {

	/**
	 * Ejects a worker after three failures or at eight times the median latency, for one
	 * to thirty seconds, and at most half of the workers.
	 */
	public static final OutlierDetectionSettings DEFAULT = new OutlierDetectionSettings(3, 8, 20, 0.5, 1_000, 30_000,
			2);

}
