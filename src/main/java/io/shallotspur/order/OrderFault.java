package io.shallotspur.order;

/**
 * Reasons why an order to an engine fails.
 */
public enum OrderFault {

	/**
	 * This node does not hold the lease for the orders of the cell, or too little of the
	 * lease remains. The order was not sent.
	 */
	NOT_HOLDER,

	/**
	 * The store did not grant or renew the lease in time. The order was not sent.
	 */
	NO_LEASE,

	/**
	 * The order was sent, but the state reported by the engine does not match it.
	 */
	NOT_IN_FORCE

}
