package io.shallotspur.quarantine;

/**
 * A request that was running on a worker when it crashed. Immutable.
 *
 * @param request the request
 * @param writingMs for how long the worker had been writing the answer, in milliseconds;
 * 0 if it had not begun to
 */
public record CrashedRun(RequestIdentity request, long writingMs) {

	// Requests that crash their workers do so within about 100 ms after these have begun
	// to write an answer, ms.
	private static final long REQUEST_PROGRESS_MS = 100;

	// Longer, as requests with the part may be slower, and each counts against it, ms.
	private static final long PART_PROGRESS_MS = 300;

	/**
	 * The times for which a worker has been writing an answer at which the request, and
	 * later the parts of its prompt, become less likely to crash it, in milliseconds.
	 */
	public static final long[] PROGRESS_MS = { REQUEST_PROGRESS_MS, PART_PROGRESS_MS };

	/**
	 * Returns a run of which nothing is known but the request.
	 * @param fingerprint the fingerprint of the request
	 * @return the run
	 */
	static CrashedRun of(long fingerprint) {
		return new CrashedRun(RequestIdentity.of(fingerprint), 0);
	}

	/**
	 * Returns whether the run was longer than a request would have taken to crash the
	 * worker.
	 * @return {@code true} if the request is less likely the cause
	 */
	public boolean speaksForRequest() {
		return this.writingMs >= REQUEST_PROGRESS_MS;
	}

	/**
	 * Returns whether the run was longer than a part would have taken to crash the
	 * worker.
	 * @return {@code true} if the parts of the prompt are less likely the cause
	 */
	public boolean speaksForParts() {
		return this.writingMs >= PART_PROGRESS_MS;
	}

}
