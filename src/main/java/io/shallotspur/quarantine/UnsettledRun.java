package io.shallotspur.quarantine;

/**
 * A run of a request at a worker that ended without a complete response. Immutable.
 *
 * @param request the fingerprints of the request
 * @param brokenOff whether the worker's side ended it; otherwise it was cancelled, as its
 * caller had left or its time was up
 * @param writingMs for how long the worker had been writing the answer, in milliseconds
 * @param endedAt when it ended, in milliseconds
 */
public record UnsettledRun(RequestIdentity request, boolean brokenOff, long writingMs, long endedAt) {

}
