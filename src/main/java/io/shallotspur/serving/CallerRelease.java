package io.shallotspur.serving;

/**
 * Decides after which responses this VM closes the caller's connection. Not thread-safe;
 * the current time is an argument.
 * <p>
 * Callers stay on their open connections when VMs are added to those that they are
 * directed to, and choose among the VMs only for a new connection. Without this, the
 * first VMs stay overloaded while those added have few callers. Only a part of the
 * connections is closed at a time, because all callers of a VM would otherwise move to
 * the others at once.
 */
public final class CallerRelease {

	// Until callers know the VMs that were added, ms: other VMs read the announcement,
	// and callers look up the addresses again.
	private static final long PROPAGATION_MS = 1_500;

	private static final int RESPONSES_PER_RELEASE = 2;

	private long wantedSince = Long.MAX_VALUE;

	private long now;

	private long responses;

	private long released;

	/**
	 * Updates the state that {@link #closeAfterNext} decides by.
	 * @param overloaded whether requests wait for the processor of this VM
	 * @param alternatives whether callers are directed to other VMs that are not
	 * overloaded
	 * @param time the current time in milliseconds
	 */
	public void update(boolean overloaded, boolean alternatives, long time) {
		this.now = time;
		if (!overloaded || !alternatives) {
			this.wantedSince = Long.MAX_VALUE;
		}
		else if (this.wantedSince == Long.MAX_VALUE) {
			this.wantedSince = time;
		}
	}

	/**
	 * Decides for the next response. Called once for each.
	 * @return whether to close the connection after it
	 */
	public boolean closeAfterNext() {
		if (this.wantedSince == Long.MAX_VALUE || this.now - this.wantedSince < PROPAGATION_MS) {
			return false;
		}
		boolean close = ++this.responses % RESPONSES_PER_RELEASE == 0;
		this.released += close ? 1 : 0;
		return close;
	}

	/**
	 * Returns how many connections were closed.
	 * @return the number since the start
	 */
	public long released() {
		return this.released;
	}

}
