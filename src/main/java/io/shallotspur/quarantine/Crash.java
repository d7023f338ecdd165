package io.shallotspur.quarantine;

/**
 * One crash of a worker, as one request on it is concerned. Immutable.
 *
 * @param worker the worker
 * @param at when the crash was noticed, in milliseconds
 * @param state what it says about the request
 */
public record Crash(String worker, long at, CrashState state) {

	/**
	 * Returns the same crash in a state that wins a merge with the present one.
	 * @param other the other state
	 * @return this or a new instance
	 */
	public Crash withMinimumState(CrashState other) {
		return (other.compareTo(this.state) > 0) ? new Crash(this.worker, this.at, other) : this;
	}

	/**
	 * Tells whether two observations are of one crash. Nodes notice a crash at slightly
	 * different times.
	 * @param other the other observation
	 * @param windowMs how far their times may be apart, in milliseconds
	 * @return {@code true} if they are of one crash
	 */
	public boolean matches(Crash other, long windowMs) {
		return this.worker.equals(other.worker) && Math.abs(this.at - other.at) <= windowMs;
	}

}
