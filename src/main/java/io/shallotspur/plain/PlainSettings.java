package io.shallotspur.plain;

/**
 * Settings of {@link StdPlainScheduler}. Immutable.
 *
 * @param queueLimit the maximum number of queued calls, default 4096
 * @param lookahead the maximum number of queued calls examined per decision, default 16
 * @param initialConcurrency the initial concurrency limit of a worker that declares none,
 * default 8
 * @param initialServiceMs the service time assumed before the first measurement, default
 * 20 ms
 * @param latencyTolerance the ratio of average to baseline latency above which the
 * concurrency limit of a worker is decreased, default 2
 * @param retryRatio retries allowed per first attempt, default 0.1
 * @param minRetries retries allowed per customer in ten seconds regardless of the number
 * of first attempts, default 24
 * @param maxAttempts the maximum number of attempts per call, default 3
 */
public record PlainSettings(int queueLimit, int lookahead, int initialConcurrency, double initialServiceMs,
		double latencyTolerance, double retryRatio, double minRetries, int maxAttempts) {

	/**
	 * Returns the documented defaults.
	 * @return the settings
	 */
	public static PlainSettings defaults() {
		return new PlainSettings(4096, 16, 8, 20, 2, 0.1, 24, 3);
	}

}
