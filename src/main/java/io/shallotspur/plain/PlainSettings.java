package io.shallotspur.plain;

/**
 * Settings of {@link StdPlainScheduler}. Immutable.
 *
 * @param queueLimit the most calls that wait, default 4096
 * @param lookahead the most waiting calls that one decision looks at, default 16
 * @param initialConcurrency calls at a time to a worker that declares no limit, until learnt,
 * default 8
 * @param initialServiceMs the length of a call assumed until learnt, default 20 ms
 * @param latencyTolerance how many times its best latency a worker may take before it gets fewer
 * calls at a time, default 2
 * @param retryRatio retries earned per first try, default 0.1
 * @param minRetries retries a customer may have in ten seconds however few first tries
 * it had, default 24
 * @param maxAttempts the most tries of one call, default 3
 */
public record PlainSettings(int queueLimit, int lookahead, int initialConcurrency, double initialServiceMs, double latencyTolerance,
		double retryRatio, double minRetries, int maxAttempts) {

	/**
	 * Returns the documented defaults.
	 * @return the settings
	 */
	public static PlainSettings defaults() {
		return new PlainSettings(4096, 16, 8, 20, 2, 0.1, 24, 3);
	}

}
