package io.shallotspur.gateway;

/**
 * A monotonic clock that includes the time for which the machine was suspended. Not
 * thread-safe; the readings of both underlying clocks are arguments.
 * <p>
 * The monotonic clock stops while the machine is suspended; the time of day continues,
 * but may be set. A gain of the time of day over the monotonic clock is treated as a
 * suspension if it exceeds {@link #SUSPENSION_THRESHOLD_MS}. A time of day that is set
 * forward looks the same, and only makes cached data appear older than it is; one that is
 * set back is ignored, and must not hide a suspension before or after it.
 * <p>
 * Invariant: the time never decreases, provided that the monotonic clock does not.
 */
final class SuspendAwareClock {

	// The clocks of a running machine diverge by less than this between two readings, ms:
	// they are read one after the other, and the time of day is slewed slightly. Smaller
	// gains add up until they exceed it.
	private static final long SUSPENSION_THRESHOLD_MS = 100;

	private boolean initialized;

	private long offsetMs;

	private long suspendedMs;

	/**
	 * Returns the elapsed time, including suspensions.
	 * @param monotonicMs the monotonic clock, in milliseconds
	 * @param wallMs the time of day, in Unix milliseconds
	 * @return milliseconds since an arbitrary origin
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
