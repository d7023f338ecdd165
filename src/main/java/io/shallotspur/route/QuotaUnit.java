package io.shallotspur.route;

/**
 * The unit of a quota.
 */
public enum QuotaUnit {

	/**
	 * Requests; each counts as one.
	 */
	REQUESTS,

	/**
	 * Tokens: those of the prompt plus the maximum number in the answer.
	 */
	TOKENS

}
