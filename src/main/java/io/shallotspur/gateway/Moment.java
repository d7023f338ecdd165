package io.shallotspur.gateway;

/**
 * A moment on two clocks. Immutable.
 * <p>
 * The steady clock stands still while the machine is suspended, and the time of day may
 * be set. What may not be older than a bound is taken to be as old as the clock says that
 * shows more.
 *
 * @param steadyMs the steady clock, in milliseconds
 * @param wallMs the time of day, in Unix milliseconds
 */
public record Moment(long steadyMs, long wallMs) {

	/**
	 * Returns how long ago another moment was.
	 * @param earlier the other moment
	 * @return milliseconds, by the clock that shows more
	 */
	long since(Moment earlier) {
		return Math.max(this.steadyMs - earlier.steadyMs, this.wallMs - earlier.wallMs);
	}

}
