package io.shallotspur.outcome;

/**
 * Reasons why a request was refused or got no complete answer. Each constant is a problem
 * type of the API for callers.
 */
public enum RefusalCode {

	/**
	 * The request could not be parsed or contains an invalid value.
	 */
	MALFORMED_REQUEST("malformed-request", 400),

	/**
	 * No contract contains the key that the caller sent.
	 */
	UNAUTHORIZED("unauthorized", 401),

	/**
	 * The contract does not contain the request class.
	 */
	UNKNOWN_CLASS("unknown-class", 404),

	/**
	 * The upstream does not exist or does not serve the request class.
	 */
	UNKNOWN_UPSTREAM("unknown-upstream", 404),

	/**
	 * There is no active contract for the customer.
	 */
	UNKNOWN_CUSTOMER("unknown-customer", 404),

	/**
	 * The body is larger than the settings allow.
	 */
	BODY_TOO_LARGE("body-too-large", 413),

	/**
	 * The request class is not repeatable and the request has no Idempotency-Key, or the
	 * key has no timestamp and there is no room for another such key.
	 */
	KEY_REQUIRED("key-required", 400),

	/**
	 * The Idempotency-Key was already used with a different body.
	 */
	KEY_REUSED("key-reused", 422),

	/**
	 * The Idempotency-Key is older than the period for which keys are retained.
	 */
	KEY_EXPIRED("key-expired", 409),

	/**
	 * The request cannot be answered within its latency targets at the current load.
	 */
	DEADLINE_INFEASIBLE("deadline-infeasible", 503),

	/**
	 * The deadline expired while the request was queued or running.
	 */
	DEADLINE_PASSED("deadline-passed", 504),

	/**
	 * The queue of the cell or of the plain upstream, or the ledger shard, is full.
	 */
	QUEUE_FULL("queue-full", 503),

	/**
	 * The upstream has no worker that accepts new requests.
	 */
	NO_WORKER("no-worker", 503),

	/**
	 * This entry VM is draining and accepts no new requests.
	 */
	DRAINING("draining", 503),

	/**
	 * The request reached the maximum number of forwards without reaching an owner.
	 */
	HOP_LIMIT("hop-limit", 503),

	/**
	 * The intent to run the request could not be stored, so the request was not run.
	 */
	STORE_UNAVAILABLE("store-unavailable", 503),

	/**
	 * The request is quarantined because it crashed workers earlier; it is not run again.
	 */
	QUARANTINED("quarantined", 422),

	/**
	 * The worker was lost or failed to run the request, and the router has no attempt or
	 * time left to retry it; or an interrupted stream cannot be resumed.
	 */
	WORKER_LOST("worker-lost", 502),

	/**
	 * The retry budget of the customer is exhausted.
	 */
	RETRY_BUDGET("retry-budget", 503),

	/**
	 * The request may have been run, and its answer is lost.
	 */
	OUTCOME_UNKNOWN("outcome-unknown", 502);

	private final String code;

	private final int httpStatus;

	RefusalCode(String code, int httpStatus) {
		this.code = code;
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the last segment of the problem type.
	 * @return the code, in kebab case
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Returns the HTTP status of responses with this code.
	 * @return the HTTP status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

}
