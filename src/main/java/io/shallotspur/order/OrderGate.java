package io.shallotspur.order;

import io.shallotspur.port.StoreLease;

/**
 * Decides whether this node may give orders to the engines of a cell. Immutable and
 * thread-safe; a change makes a new instance.
 * <p>
 * Invariants: an order begins only if it will have ended before the lease can end, as
 * this node counts it from the moment it asked; to engines that do not check fencing
 * numbers, none is given until the margin after this node's first sight of its lease, by
 * when the orders of a former holder have arrived. Engines that check numbers refuse what
 * comes later still.
 */
public final class OrderGate {

	private final OrderLeaseSettings limits;

	private final boolean held;

	private final long token;

	private final long heldSince;

	private final long endsAt;

	private OrderGate(OrderLeaseSettings limits, boolean held, long token, long heldSince, long endsAt) {
		this.limits = limits;
		this.held = held;
		this.token = token;
		this.heldSince = heldSince;
		this.endsAt = endsAt;
	}

	/**
	 * Creates a gate without a lease.
	 * @param limits the times
	 * @return the gate
	 */
	public static OrderGate withoutLease(OrderLeaseSettings limits) {
		return new OrderGate(limits, false, 0, 0, Long.MIN_VALUE);
	}

	/**
	 * Takes an answer of the store. An answer that was lost is not told: the lease then
	 * counts as it did before.
	 * @param lease the lease as it stands
	 * @param self the name of this node as a holder
	 * @param askedAt when the store was asked, in milliseconds
	 * @param now the present time in milliseconds
	 * @return a new gate
	 */
	public OrderGate withLease(StoreLease lease, String self, long askedAt, long now) {
		if (!lease.holder().equals(self)) {
			return withoutLease(this.limits);
		}
		boolean same = this.held && this.token == lease.fencingToken();
		// The store counts from some moment after the question was sent; counting from
		// before it, this node never believes in a lease that has ended.
		long ends = askedAt + lease.remainingMs() - this.limits.maxClockDriftMs();
		return new OrderGate(this.limits, true, lease.fencingToken(), same ? this.heldSince : now, ends);
	}

	/**
	 * Decides about an order.
	 * @param checksFencing whether the engine refuses an order with an old number
	 * @param now the present time in milliseconds
	 * @return the permit
	 */
	public OrderPermit permit(boolean checksFencing, long now) {
		if (!this.held || now + this.limits.orderTimeoutMs() > this.endsAt) {
			return new OrderPermit.LeaseNotHeld();
		}
		long open = this.heldSince + this.limits.lateOrderMarginMs();
		if (!checksFencing && now < open) {
			return new OrderPermit.Deferred(open);
		}
		return new OrderPermit.Granted(this.token, now + this.limits.orderTimeoutMs());
	}

	/**
	 * Tells whether the lease should be renewed.
	 * @param now the present time in milliseconds
	 * @return {@code true} if less than half of it is left
	 */
	public boolean needsRenewal(long now) {
		return !this.held || now + this.limits.leaseTtlMs() / 2 >= this.endsAt;
	}

}
