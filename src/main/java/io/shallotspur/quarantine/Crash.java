package io.shallotspur.quarantine;

/**
 * One crash of a worker, with its effect on the suspicion against one request that was
 * running there. Immutable.
 *
 * @param worker the id of the worker
 * @param at when the crash was detected, in milliseconds
 * @param state what the crash indicates about the request
 */
public record Crash(String worker, long at, CrashState state) {

	/**
	 * Returns this crash with the higher of its present state and another one.
	 * @param other the other state
	 * @return this instance if its state is at least as high, otherwise a new one
	 */
	public Crash withMinimumState(CrashState other) {
		return (other.compareTo(this.state) > 0) ? new Crash(this.worker, this.at, other) : this;
	}

	/**
	 * Returns whether two observations are of the same crash. Nodes detect a crash at
	 * slightly different times.
	 * @param other the other observation
	 * @param windowMs the largest difference between the two times, in milliseconds
	 * @return {@code true} if the worker is the same and the times are within the window
	 */
	public boolean matches(Crash other, long windowMs) {
		return this.worker.equals(other.worker) && Math.abs(this.at - other.at) <= windowMs;
	}

}
