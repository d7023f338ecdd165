package io.shallotspur.gateway;

/**
 * A steady time that also counts what passes while the machine is suspended. Not
 * thread-safe; the readings of both clocks are arguments.
 * <p>
 * The steady clock stands still while the machine is suspended; the time of day goes on,
 * but may be set. What the time of day gains on the steady clock is taken for a
 * suspension. That it was set forward looks the same, and ages what is known for nothing;
 * that it was set back is left aside, and must not hide a suspension before or after it.
 * <p>
 * Invariant: the time never goes back, provided that the steady clock does not.
 */
final class SuspendAwareClock {

	// The clocks of a running machine differ by less between two readings, ms: they are
	// read one after the other, and the time of day is slewed a little. Small gains add
	// up until they pass it.
	private static final long SUSPENSION_THRESHOLD_MS = 100;

	private boolean initialized;

	private long offsetMs;

	private long suspendedMs;

	/**
	 * Returns the time.
	 * @param monotonicMs the steady clock, in milliseconds
	 * @param wallMs the time of day, in Unix milliseconds
	 * @return milliseconds since some moment
	 */
	long elapsedMs(long monotonicMs, long wallMs) {
		long newOffsetMs = wallMs - monotonicMs;
		long gainedMs = this.initialized ? newOffsetMs - this.offsetMs : 0;
		if (gainedMs > SUSPENSION_THRESHOLD_MS) {
			this.suspendedMs += gainedMs;
		}
		if (!this.initialized || Math.abs(gainedMs) > SUSPENSION_THRESHOLD_MS) {
			this.offsetMs = newOffsetMs;
			this.initialized = true;
		}
		return monotonicMs + this.suspendedMs;
	}

}
