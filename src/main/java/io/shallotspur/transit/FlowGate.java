package io.shallotspur.transit;

/**
 * Decides when the response of a worker is read on while its caller does not read. A
 * worker breaks off a response that nobody reads for some seconds, so that reading goes
 * on slowly instead of stopping: the caller may only be slow. Not thread-safe; confined
 * to the event loop.
 * <p>
 * Invariants: with little held, reading never stops; with much held, it goes on at most
 * once per {@link #PATIENCE_MS}.
 */
public final class FlowGate {

	/**
	 * How long a worker's connection stays unread, ms. Shorter than any worker's
	 * patience, which is seconds.
	 */
	public static final long PATIENCE_MS = 1_000;

	// In bytes. Above, a caller that reads as fast as it can has enough to go on with
	// until more has come from the worker.
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
