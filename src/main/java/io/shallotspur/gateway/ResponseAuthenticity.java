package io.shallotspur.gateway;

/**
 * Whether a response can be trusted to belong to the request it was received for.
 */
public enum ResponseAuthenticity {

	/**
	 * The response names this request and carries the worker's signature.
	 */
	SIGNED,

	/**
	 * The response names this request or none, and is not signed. It must not be treated
	 * as a success.
	 */
	UNSIGNED,

	/**
	 * The response belongs to another request or was altered in transit.
	 */
	MISMATCHED

}
