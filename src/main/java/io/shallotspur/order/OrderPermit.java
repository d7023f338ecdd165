package io.shallotspur.order;

/**
 * Whether an order may be given now. Immutable.
 */
public sealed interface OrderPermit {

	/**
	 * It may be given, and has to be carried out or given up in time.
	 *
	 * @param fencingToken the number to give it under
	 * @param deadline when the order must have ended, in milliseconds
	 */
	record Granted(long fencingToken, long deadline) implements OrderPermit {

	}

	/**
	 * It may be given later.
	 *
	 * @param retryAt when to ask again, in milliseconds
	 */
	record Deferred(long retryAt) implements OrderPermit {

	}

	/**
	 * Another node gives the orders, or the lease has lapsed.
	 */
	record LeaseNotHeld() implements OrderPermit {

	}

}
