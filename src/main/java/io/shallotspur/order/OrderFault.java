package io.shallotspur.order;

/**
 * Why an order was not carried out.
 */
public enum OrderFault {

	/**
	 * Another node gives the orders of the cell. The order was not given.
	 */
	NOT_HOLDER,

	/**
	 * The lease could not be had from the store in time. The order was not given.
	 */
	NO_LEASE,

	/**
	 * The order was given, and what the engine reports is something else.
	 */
	NOT_IN_FORCE

}
