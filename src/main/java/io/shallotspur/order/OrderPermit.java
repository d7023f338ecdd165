package io.shallotspur.order;

/**
 * Result of the check whether an order may be sent now. Immutable.
 */
public sealed interface OrderPermit {

	/**
	 * The order may be sent, and must complete or be abandoned by the deadline.
	 *
	 * @param fencingToken the fencing token to send with the order
	 * @param deadline when the order must have completed, as a time in milliseconds
	 */
	record Granted(long fencingToken, long deadline) implements OrderPermit {

	}

	/**
	 * The order must not be sent yet.
	 *
	 * @param retryAt when to check again, as a time in milliseconds
	 */
	record Deferred(long retryAt) implements OrderPermit {

	}

	/**
	 * The order must not be sent: this node does not hold the lease, or the lease has
	 * expired or would expire before the order times out.
	 */
	record LeaseNotHeld() implements OrderPermit {

	}

}
