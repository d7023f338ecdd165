package io.shallotspur.order;

/**
 * Whether an order may be given now. Immutable.
 */
public sealed interface OrderPermit {

	/**
	 * It may be given, and has to be carried out or given up in time.
	 *
	 * @param fencingToken the number to give it under
	 * @param endBy when the order must have ended, in milliseconds
	 */
	record Give(long fencingToken, long endBy) implements OrderPermit {

	}

	/**
	 * It may be given later.
	 *
	 * @param until when to ask again, in milliseconds
	 */
	record Wait(long until) implements OrderPermit {

	}

	/**
	 * Another node gives the orders, or the lease has lapsed.
	 */
	record NotHolder() implements OrderPermit {

	}

}
