package io.shallotspur.gateway;

/**
 * What a caller is told when no worker's answer can be relayed. Immutable.
 *
 * @param status the HTTP status; 429 and 503 promise that the request has not run and
 * never will
 * @param reason why, for the caller's developers and the log
 * @param retryAfterMs when a new try is worthwhile, in milliseconds; 0 for no advice
 */
public record RelayRefusal(int status, RefusalReason reason, long retryAfterMs) {

	/** The request has not run and never will. */
	public static final int NOT_RUN = 503;

	/** The same, as the customer has asked for too much. */
	public static final int TOO_MANY_REQUESTS = 429;

	/** Nobody knows whether the request has run; no whole answer came. */
	public static final int OUTCOME_UNKNOWN = 502;

	/** As before, and the time for an answer is up. */
	public static final int TIMED_OUT = 504;

	/**
	 * Creates a refusal that promises that the request has not run.
	 * @param reason why
	 * @param retryAfterMs when a new try is worthwhile, in milliseconds
	 * @return the refusal
	 */
	public static RelayRefusal notRun(RefusalReason reason, long retryAfterMs) {
		return new RelayRefusal(NOT_RUN, reason, retryAfterMs);
	}

}
