package io.shallotspur.gateway;

import java.util.Set;

/**
 * The response to a caller when no worker's answer can be relayed. Immutable.
 *
 * @param status the HTTP status; 429 and 503 guarantee that the request has not run and
 * will not run
 * @param reason the reason, for the caller's developers and the log
 * @param retryAfterMs after how many milliseconds a retry is useful; 0 for no advice
 */
public record RelayRefusal(int status, RefusalReason reason, long retryAfterMs) {

	/** The request has not run and will not run. */
	public static final int NOT_RUN = 503;

	/**
	 * The request has not run and will not run, as the customer has exceeded its quota.
	 */
	public static final int TOO_MANY_REQUESTS = 429;

	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, TOO_MANY_REQUESTS, NOT_RUN);

	/** It is not known whether the request has run; no complete response was received. */
	public static final int OUTCOME_UNKNOWN = 502;

	/**
	 * It is not known whether the request has run; the time for an answer has expired.
	 */
	public static final int TIMED_OUT = 504;

	/**
	 * Creates a refusal of a request that this VM cannot complete before it ends.
	 * @return the refusal, which guarantees that the request has not run
	 */
	public static RelayRefusal leaving() {
		return notRun(RefusalReason.LEAVING, RetryDelay.DRAINING_MS);
	}

	/**
	 * Returns whether callers take a status as the guarantee that the request has not run
	 * and will not run.
	 * @param status the HTTP status
	 * @return {@code true} for 408, 421, 429 and 503
	 */
	static boolean promisesNotRun(int status) {
		return NOT_RUN_STATUSES.contains(status);
	}

	/**
	 * Creates a refusal that guarantees that the request has not run.
	 * @param reason the reason
	 * @param retryAfterMs after how many milliseconds a retry is useful
	 * @return the refusal
	 */
	public static RelayRefusal notRun(RefusalReason reason, long retryAfterMs) {
		return new RelayRefusal(NOT_RUN, reason, retryAfterMs);
	}

}
