package io.shallotspur.platform;

/**
 * The times of a drain, in milliseconds. Immutable.
 *
 * @param refuseFrom from when on requests that may outlast this VM are refused
 * @param stopListeningAt until when new connections are accepted at the latest
 * @param endAt when the requests that are still in progress are ended
 * @param closeAt when the sockets are closed at the latest
 */
record DrainTimes(long refuseFrom, long stopListeningAt, long endAt, long closeAt) {

	// Callers cache this VM's address for a few seconds after lookups stop returning it;
	// requests that arrive in that time are still served. They may last until the exit
	// and be cut there, which is allowed for those sent in the first three seconds after
	// the signal; the signal may be handled some hundred ms late.
	private static final long LATE_REQUEST_WINDOW_MS = 2_500;

	// From the end of the requests to the end of the grace period, when the process is
	// killed. Answers to the rest must be written and the process must exit meanwhile.
	private static final long EXIT_MARGIN_MS = 800;

	// Share of a shorter grace period.
	private static final int EXIT_MARGIN_SHARE = 10;

	// Refusing a request takes a few ms.
	private static final long LISTEN_MARGIN_MS = 300;

	private static final long LAST_WRITES_MS = 200;

	/**
	 * Returns the times of a drain.
	 * @param toldAt when the VM was told to stop, ms
	 * @param graceMs after how long it is killed, ms
	 * @return the times
	 */
	static DrainTimes of(long toldAt, long graceMs) {
		long endAt = toldAt + graceMs - Math.min(EXIT_MARGIN_MS, graceMs / EXIT_MARGIN_SHARE);
		return new DrainTimes(toldAt + Math.min(LATE_REQUEST_WINDOW_MS, graceMs / 2), endAt - LISTEN_MARGIN_MS, endAt,
				endAt + Math.min(LAST_WRITES_MS, graceMs / EXIT_MARGIN_SHARE / 2));
	}

}
