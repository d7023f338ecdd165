package io.shallotspur.transit;

/**
 * Decides when the response of a worker is read more slowly because its caller does not
 * read. Not thread-safe; confined to the event loop.
 * <p>
 * A worker breaks off a response that is not read for some seconds, while the caller may
 * only be slow. A response that is stopped here is therefore still read once per
 * {@link #MAX_UNREAD_MS}.
 * <p>
 * Invariant: reading stops above 64 KB held, and goes on once 32 KB or less are held.
 */
public final class FlowGate {

	/**
	 * How long a worker's connection stays unread, ms. Shorter than the time after which
	 * workers break off a response, which is seconds.
	 */
	public static final long MAX_UNREAD_MS = 1_000;

	// In bytes. A caller that reads as fast as it can has enough until more has come from
	// the worker.
	private static final long HIGH_MARK = 64 << 10;

	private static final long LOW_MARK = 32 << 10;

	private boolean stopped;

	/**
	 * Tells whether reading stops or goes on.
	 * @param heldBytes the bytes held for the caller
	 * @return {@code true} if it stops
	 */
	public boolean update(long heldBytes) {
		this.stopped = heldBytes > (this.stopped ? LOW_MARK : HIGH_MARK);
		return this.stopped;
	}

	/**
	 * Returns the latest decision.
	 * @return {@code true} if reading has stopped
	 */
	public boolean isStopped() {
		return this.stopped;
	}

}
