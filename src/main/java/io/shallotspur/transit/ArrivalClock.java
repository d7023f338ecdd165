package io.shallotspur.transit;

/**
 * Determines since when bytes may have waited in a socket that an event loop reads only
 * now. A loop that is behind by seconds reads requests whose time has been running since
 * they arrived; counted from the read, their deadlines would lie as much too late. Not
 * thread-safe; confined to the event loop.
 * <p>
 * Invariant: bytes that are ready when the loop enters a poll did not arrive before the
 * poll ahead of it returned, and bytes that a poll had to wait for arrived when it
 * returned. After a short round the loop waits without a check of what is ready; bytes
 * that were ready are then dated too late, by no more than that round.
 */
public final class ArrivalClock {

	// A round that takes less is short, ms. Far below the time limits of callers.
	private static final long SHORT_ROUND_MS = 20;

	private long enteredAt;

	private long returnedAt;

	private long previousReturnedAt;

	private long polls;

	private boolean waits;

	private boolean started;

	/**
	 * Records that the loop is about to poll its sockets.
	 * @param now the present time in milliseconds
	 */
	public void pollEntered(long now) {
		this.enteredAt = now;
		this.waits = false;
	}

	/**
	 * Tells whether the loop should check what is ready before it waits.
	 * @return {@code true} if its last round was long
	 */
	public boolean shouldCheckReady() {
		return lagMs() >= SHORT_ROUND_MS;
	}

	/**
	 * Records that the loop is about to wait, as it has found nothing ready or has not
	 * checked after a short round.
	 */
	public void pollWaits() {
		this.waits = true;
	}

	/**
	 * Records that a poll has returned; what it found is handled next.
	 * @param now the present time in milliseconds
	 */
	public void pollReturned(long now) {
		this.previousReturnedAt = this.started ? this.returnedAt : now;
		this.started = true;
		this.returnedAt = now;
		this.polls++;
	}

	/**
	 * Returns the earliest time at which bytes that the latest poll found can have
	 * arrived.
	 * @return the time in milliseconds
	 */
	public long earliestArrival() {
		return this.waits ? this.returnedAt : this.previousReturnedAt;
	}

	/**
	 * Returns the earliest time at which the first bytes on a new connection can have
	 * arrived. They are read by a later poll than the one that found the connection, and
	 * may have come with it.
	 * @param openedAt the earliest arrival of the connection
	 * @param openedInPoll the {@link #polls} when it was accepted
	 * @return the time in milliseconds
	 */
	public long earliestArrivalOnNewConnection(long openedAt, long openedInPoll) {
		return (this.polls <= openedInPoll + 1) ? Math.min(openedAt, earliestArrival()) : earliestArrival();
	}

	/**
	 * Returns how many polls have returned.
	 * @return the number of polls
	 */
	public long polls() {
		return this.polls;
	}

	// How long the loop was busy before the poll that it has entered.
	private long lagMs() {
		return this.started ? this.enteredAt - this.returnedAt : 0;
	}

}
