package io.shallotspur.route;

/**
 * What a quota counts.
 */
public enum QuotaUnit {

	/**
	 * Requests, each as one.
	 */
	REQUESTS,

	/**
	 * Tokens: those of the prompt and the most of the answer.
	 */
	TOKENS

}
