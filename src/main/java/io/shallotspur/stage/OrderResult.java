package io.shallotspur.stage;

/**
 * How a worker took an order.
 */
public enum OrderResult {

	/**
	 * It is being carried out, or is in force.
	 */
	ACCEPTED,

	/**
	 * Another order is being carried out, or was accepted meanwhile.
	 */
	CONFLICT,

	/**
	 * The worker has seen a higher fencing number.
	 */
	FENCED,

	/**
	 * Another incarnation has the worker's address.
	 */
	REPLACED,

	/**
	 * The worker does not take such orders.
	 */
	REFUSED

}
