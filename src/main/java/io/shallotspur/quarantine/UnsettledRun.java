package io.shallotspur.quarantine;

/**
 * A run of a request at a worker that ended without a response that is known to be
 * complete. Immutable.
 *
 * @param request the fingerprints of the request
 * @param brokenOff whether the worker's side ended it; otherwise it was cancelled, as its
 * caller had left or its time was up
 * @param writingMs for how long the worker had been writing the answer, in milliseconds
 * @param endedAt when it ended, in milliseconds
 * @param answered whether the response ended as a complete one may, with its connection;
 * it was complete if the worker goes on
 */
public record UnsettledRun(RequestIdentity request, boolean brokenOff, long writingMs, long endedAt, boolean answered) {

	/**
	 * Creates a run without a complete response.
	 * @param request the fingerprints of the request
	 * @param brokenOff whether the worker's side ended it
	 * @param writingMs for how long the worker had been writing the answer, in
	 * milliseconds
	 * @param endedAt when it ended, in milliseconds
	 */
	public UnsettledRun(RequestIdentity request, boolean brokenOff, long writingMs, long endedAt) {
		this(request, brokenOff, writingMs, endedAt, false);
	}

}
