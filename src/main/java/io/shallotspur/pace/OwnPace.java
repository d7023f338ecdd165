package io.shallotspur.pace;

/**
 * The usual pace of one worker among uneven ones, by which it is judged whether it has
 * become slow. Not thread-safe; the present time is an argument.
 * <p>
 * Invariant: latencies while it is slow do not change its usual pace.
 */
public final class OwnPace {

	// A pace further than this factor from the others', or an answer that took this many
	// times the usual time, is taken for a fault.
	private static final double MAX_FACTOR = 3;

	// A worker that is slow for less than this may be slowed down by the work of others
	// on its machine, which lasts about half a second, ms.
	private static final long DISTURBANCE_MS = 1_000;

	private final WorkerPace usual = new WorkerPace();

	private long usualAt;

	/**
	 * Records the latency of an answer while the worker is not slow.
	 * @param latencyMs the latency in milliseconds
	 * @param now the present time in milliseconds
	 */
	public void recordUsual(double latencyMs, long now) {
		this.usualAt = now;
		SampleMean known = this.usual.learned();
		if (!known.isKnown() || latencyMs <= MAX_FACTOR * known.mean()) {
			this.usual.recordAnswer(latencyMs, 0, 0, 1, now);
		}
	}

	/**
	 * Returns the usual pace.
	 * @return the pace, to be compared with other workers'
	 */
	public WorkerPace usual() {
		return this.usual;
	}

	/**
	 * Returns the latency with which the worker's present one is compared.
	 * @param othersMs the median of the others, in milliseconds
	 * @return its own usual latency, as far as that is not a fault, in milliseconds
	 */
	public double referenceMs(double othersMs) {
		double ms = this.usual.learned().isKnown() ? this.usual.learned().mean() : othersMs;
		return Math.max(othersMs / MAX_FACTOR, Math.min(othersMs * MAX_FACTOR, ms));
	}

	/**
	 * Tells whether the worker has been slow for longer than work of others on its
	 * machine explains.
	 * @param othersMs the median of the others, in milliseconds
	 * @param now the present time in milliseconds
	 * @return {@code true} also for a worker whose usual pace itself is a fault
	 */
	public boolean isSlowForLong(double othersMs, long now) {
		return this.usual.learned().mean() > MAX_FACTOR * othersMs || now - this.usualAt >= DISTURBANCE_MS;
	}

}
