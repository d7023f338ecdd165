package io.shallotspur.queueing;

import java.util.OptionalDouble;

/**
 * How many requests of one VM start per second while others of it wait, which is the rate
 * at which its queue is served in a burst. Not thread-safe.
 * <p>
 * Invariant: the time in which nothing waits does not count, as starts then show how many
 * requests arrive and not how many can be served.
 */
public final class StartRate {

	// Long enough for some starts of a VM that gets a few slots a second; short enough
	// to follow workers that are lost in a burst, ms.
	private static final double MEAN_AGE_MS = 2_000;

	// A rate from less waiting time would be that of the first few starts, ms.
	private static final double MIN_OBSERVED_MS = 500;

	private double starts;

	private double waitingMs;

	private boolean waiting;

	private long updatedAt;

	/**
	 * Records whether requests wait from now on.
	 * @param waiting whether any request waits
	 * @param now the present time in milliseconds
	 */
	public void setWaiting(boolean waiting, long now) {
		update(now);
		this.waiting = waiting;
	}

	/**
	 * Records the start of a request that has waited, or that starts while others wait.
	 * @param now the present time in milliseconds
	 */
	public void recordStart(long now) {
		update(now);
		this.starts++;
	}

	/**
	 * Returns the rate.
	 * @param now the present time in milliseconds
	 * @return starts per second; empty if requests have hardly waited yet
	 */
	public OptionalDouble perSecond(long now) {
		update(now);
		return (this.waitingMs >= MIN_OBSERVED_MS) ? OptionalDouble.of(1_000 * this.starts / this.waitingMs)
				: OptionalDouble.empty();
	}

	private void update(long now) {
		long elapsedMs = Math.max(0, now - this.updatedAt);
		if (this.waiting) {
			double factor = Math.exp(-elapsedMs / MEAN_AGE_MS);
			this.starts *= factor;
			this.waitingMs = factor * this.waitingMs + MEAN_AGE_MS * (1 - factor);
		}
		this.updatedAt = Math.max(now, this.updatedAt);
	}

}
