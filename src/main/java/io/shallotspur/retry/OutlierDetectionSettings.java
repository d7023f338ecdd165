package io.shallotspur.retry;

/**
 * When a worker is left out. Immutable.
 *
 * @param consecutiveFailures failures in a row that eject a worker
 * @param latencyFactor a worker whose mean latency is over this many times the median of
 * its fellows is ejected; 0 to leave latency out
 * @param minSamples answers needed before the latency of a worker counts
 * @param maxShare the largest share of the workers ejected at a time; at least one worker
 * of two or more may be
 * @param baseEjectMs how long the first ejection lasts, in milliseconds; it doubles with
 * each one that follows
 * @param maxEjectMs how long an ejection lasts at most, in milliseconds
 * @param probeSuccesses answers in a row that bring a worker back
 */
public record OutlierDetectionSettings(int consecutiveFailures, double latencyFactor, int minSamples, double maxShare,
		long baseEjectMs, long maxEjectMs, int probeSuccesses) {

	/**
	 * Three failures or eight times the median latency; at most half of the workers; from
	 * one second up to thirty.
	 */
	public static final OutlierDetectionSettings DEFAULT = new OutlierDetectionSettings(3, 8, 20, 0.5, 1_000, 30_000, 2);

}
