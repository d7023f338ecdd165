package io.shallotspur.queueing;

/**
 * Decides which starts go to a lower priority, so that a steady load at a higher one does
 * not starve it. Not thread-safe.
 * <p>
 * Invariant: it is the turn of a lower priority after each seventh of eight starts, until
 * the next start is recorded. A caller that selects several requests before it records a
 * start may select all of them in the same turn.
 */
public final class LowerPriorityTurns {

	private static final int INTERVAL = 8;

	private int starts;

	/**
	 * Records that a request was started, whatever its priority.
	 */
	public void recordStart() {
		this.starts = (this.starts + 1) % INTERVAL;
	}

	/**
	 * Returns whether the next start is the turn of a lower priority.
	 * @return {@code true} if a request of a lower priority is to be preferred
	 */
	public boolean isDue() {
		return this.starts == INTERVAL - 1;
	}

}
