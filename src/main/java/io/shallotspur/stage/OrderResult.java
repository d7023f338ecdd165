package io.shallotspur.stage;

/**
 * A worker's response to an order.
 */
public enum OrderResult {

	/**
	 * The order is in progress or has taken effect.
	 */
	ACCEPTED,

	/**
	 * Another order is in progress or was accepted in the meantime.
	 */
	CONFLICT,

	/**
	 * The worker has already seen a higher fencing token.
	 */
	FENCED,

	/**
	 * The worker's address now belongs to a different incarnation.
	 */
	REPLACED,

	/**
	 * The worker does not support such orders.
	 */
	REFUSED

}
