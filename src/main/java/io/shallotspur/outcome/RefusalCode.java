package io.shallotspur.outcome;

/**
 * Why a request got no answer. Each constant is one problem type of the callers' API.
 */
public enum RefusalCode {

	/**
	 * The request could not be read.
	 */
	MALFORMED_REQUEST("malformed-request", 400),

	/**
	 * No contract has the key that the caller presented.
	 */
	UNAUTHORIZED("unauthorized", 401),

	/**
	 * The contract has no such class.
	 */
	UNKNOWN_CLASS("unknown-class", 404),

	/**
	 * There is no such upstream.
	 */
	UNKNOWN_UPSTREAM("unknown-upstream", 404),

	/**
	 * No contract is in force for the customer.
	 */
	UNKNOWN_CUSTOMER("unknown-customer", 404),

	/**
	 * The body is larger than the settings allow.
	 */
	BODY_TOO_LARGE("body-too-large", 413),

	/**
	 * The class may not be repeated and the request has no Idempotency-Key.
	 */
	KEY_REQUIRED("key-required", 400),

	/**
	 * The Idempotency-Key was used before with another body.
	 */
	KEY_REUSED("key-reused", 422),

	/**
	 * The Idempotency-Key is older than the window in which it is remembered.
	 */
	KEY_EXPIRED("key-expired", 409),

	/**
	 * The request could not be answered within its targets at the present load.
	 */
	DEADLINE_INFEASIBLE("deadline-infeasible", 503),

	/**
	 * The deadline passed while the request waited or ran.
	 */
	DEADLINE_PASSED("deadline-passed", 504),

	/**
	 * The queue of the class is full.
	 */
	QUEUE_FULL("queue-full", 503),

	/**
	 * The upstream has no worker that takes new work.
	 */
	NO_WORKER("no-worker", 503),

	/**
	 * This entry VM is leaving and takes no new work.
	 */
	DRAINING("draining", 503),

	/**
	 * The request was forwarded as often as is allowed and met no owner.
	 */
	HOP_LIMIT("hop-limit", 503),

	/**
	 * The intent to run could not be recorded, so the request was not run.
	 */
	STORE_UNAVAILABLE("store-unavailable", 503),

	/**
	 * The request crashed workers before and is not run again.
	 */
	QUARANTINED("quarantined", 422),

	/**
	 * The worker that ran the request was lost, and no try is left.
	 */
	WORKER_LOST("worker-lost", 502),

	/**
	 * The customer has used up its retries.
	 */
	RETRY_BUDGET("retry-budget", 503),

	/**
	 * The request may have been run and its answer is lost.
	 */
	OUTCOME_UNKNOWN("outcome-unknown", 502);

	private final String code;

	private final int httpStatus;

	RefusalCode(String code, int status) {
		this.code = code;
		this.httpStatus = status;
	}

	/**
	 * Returns the last part of the problem type.
	 * @return the code, in kebab case
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Returns the HTTP status that goes with this refusal.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

}
