package io.shallotspur.outcome;

/**
 * Tells the caller whether a request was run.
 */
public enum Outcome {

	/**
	 * The complete answer was sent.
	 */
	ANSWERED("answered"),

	/**
	 * The request was not run, and this call will not run it later. It is safe to retry.
	 */
	NOT_RUN("not_run"),

	/**
	 * The request may have been run. A request that is not repeatable must not be retried
	 * with a different Idempotency-Key.
	 */
	OUTCOME_UNKNOWN("outcome_unknown");

	private final String code;

	Outcome(String code) {
		this.code = code;
	}

	/**
	 * Returns the code used in problem documents and reports.
	 * @return the code
	 */
	public String code() {
		return this.code;
	}

}
