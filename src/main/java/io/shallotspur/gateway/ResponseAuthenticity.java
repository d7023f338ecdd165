package io.shallotspur.gateway;

/**
 * Whether an answer may be taken for the answer to the request it followed.
 */
public enum ResponseAuthenticity {

	/**
	 * It names this request and bears the worker's signature.
	 */
	SIGNED,

	/**
	 * It names this request, or none, and bears no signature: nobody may take it for a
	 * success.
	 */
	UNSIGNED,

	/**
	 * It belongs to another request or was altered on the way.
	 */
	MISMATCHED

}
