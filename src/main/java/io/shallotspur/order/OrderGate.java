package io.shallotspur.order;

import io.shallotspur.port.StoreLease;

/**
 * Decides whether this node may send orders to the engines of a cell. Immutable and
 * thread-safe; a change creates a new instance.
 * <p>
 * Invariants: an order starts only if its timeout elapses before the lease can expire,
 * where this node counts the lease from the moment it sent the lease request. To engines
 * that do not check fencing tokens, no order is sent until
 * {@link OrderLeaseSettings#lateOrderMarginMs()} after this node first saw its lease; by
 * then the orders of a former holder have arrived. Engines that check fencing tokens
 * reject orders of a former holder whenever they arrive.
 */
public final class OrderGate {

	private final OrderLeaseSettings settings;

	private final boolean held;

	private final long fencingToken;

	private final long acquiredAt;

	private final long expiresAt;

	private OrderGate(OrderLeaseSettings settings, boolean held, long fencingToken, long acquiredAt, long expiresAt) {
		this.settings = settings;
		this.held = held;
		this.fencingToken = fencingToken;
		this.acquiredAt = acquiredAt;
		this.expiresAt = expiresAt;
	}

	/**
	 * Creates a gate without a lease.
	 * @param settings the lease settings
	 * @return the gate
	 */
	public static OrderGate withoutLease(OrderLeaseSettings settings) {
		return new OrderGate(settings, false, 0, 0, Long.MIN_VALUE);
	}

	/**
	 * Applies a lease response of the store. If a response is lost, this method is not
	 * called and the previous state of the lease stays valid.
	 * @param lease the current lease in the store
	 * @param self the name of this node as a lease holder
	 * @param requestedAt when the lease request was sent, in milliseconds
	 * @param now the current time in milliseconds
	 * @return a new gate
	 */
	public OrderGate withLease(StoreLease lease, String self, long requestedAt, long now) {
		if (!lease.holder().equals(self)) {
			return withoutLease(this.settings);
		}
		boolean renewed = this.held && this.fencingToken == lease.fencingToken();
		// The store starts counting after the request was sent. Counting from the time of
		// the request, this node never treats an expired lease as valid.
		long expires = requestedAt + lease.remainingMs() - this.settings.maxClockDriftMs();
		return new OrderGate(this.settings, true, lease.fencingToken(), renewed ? this.acquiredAt : now, expires);
	}

	/**
	 * Decides whether an order may be sent.
	 * @param checksFencing whether the engine rejects orders with an outdated fencing
	 * token
	 * @param now the current time in milliseconds
	 * @return the permit
	 */
	public OrderPermit permit(boolean checksFencing, long now) {
		if (!this.held || now + this.settings.orderTimeoutMs() > this.expiresAt) {
			return new OrderPermit.LeaseNotHeld();
		}
		long marginEnd = this.acquiredAt + this.settings.lateOrderMarginMs();
		if (!checksFencing && now < marginEnd) {
			return new OrderPermit.Deferred(marginEnd);
		}
		return new OrderPermit.Granted(this.fencingToken, now + this.settings.orderTimeoutMs());
	}

	/**
	 * Returns whether the lease should be requested or renewed.
	 * @param now the current time in milliseconds
	 * @return {@code true} if the lease is not held or at most half of it remains
	 */
	public boolean needsRenewal(long now) {
		return !this.held || now + this.settings.leaseTtlMs() / 2 >= this.expiresAt;
	}

}
