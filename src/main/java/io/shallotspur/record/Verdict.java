package io.shallotspur.record;

/**
 * How a request ended, as the contract sees it.
 */
public enum Verdict {

	/**
	 * The whole answer came inside all targets.
	 */
	MET,

	/**
	 * The whole answer came, and missed a target.
	 */
	MISSED,

	/**
	 * The request was refused and not run.
	 */
	REFUSED,

	/**
	 * The caller was told that the outcome is unknown, or got a part of the answer.
	 */
	UNKNOWN,

	/**
	 * The caller left before the end.
	 */
	CANCELLED

}
