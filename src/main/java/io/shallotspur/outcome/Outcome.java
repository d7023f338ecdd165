package io.shallotspur.outcome;

/**
 * Whether a request was run, as its caller is told.
 */
public enum Outcome {

	/**
	 * The whole answer was given.
	 */
	ANSWERED("answered"),

	/**
	 * The request was not run, and never will be because of this call. It is safe to send
	 * it again.
	 */
	NOT_RUN("not_run"),

	/**
	 * The request may have been run. A request that may not be repeated must not be sent
	 * again under another key.
	 */
	OUTCOME_UNKNOWN("outcome_unknown");

	private final String code;

	Outcome(String code) {
		this.code = code;
	}

	/**
	 * Returns the form used in problem documents and reports.
	 * @return the code
	 */
	public String code() {
		return this.code;
	}

}
