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
final class ElapsedTime {

	// The clocks of a running machine differ by less between two readings, ms: they are
	// read one after the other, and the time of day is slewed a little. Small gains add
	// up until they pass it.
	private static final long NOTICED_MS = 100;

	private boolean begun;

	private long offset;

	private long suspendedMs;

	/**
	 * Returns the time.
	 * @param steadyMs the steady clock, in milliseconds
	 * @param wallMs the time of day, in Unix milliseconds
	 * @return milliseconds since some moment
	 */
	long at(long steadyMs, long wallMs) {
		long now = wallMs - steadyMs;
		long gained = this.begun ? now - this.offset : 0;
		if (gained > NOTICED_MS) {
			this.suspendedMs += gained;
		}
		if (!this.begun || Math.abs(gained) > NOTICED_MS) {
			this.offset = now;
			this.begun = true;
		}
		return steadyMs + this.suspendedMs;
	}

}
