package io.shallotspur.order;

/**
 * Times of the lease for orders. Immutable.
 *
 * @param leaseTtlMs how long the lease lasts without renewal, in milliseconds
 * @param orderTimeoutMs the longest an order may take, in milliseconds
 * @param maxClockDriftMs how much faster or slower than the store's clock this node's may run
 * during a lease, in milliseconds
 * @param lateOrderMarginMs how long after a former holder's lease its orders may still arrive at
 * an engine, in milliseconds; longer than the pauses and delays that are expected
 */
public record OrderLeaseSettings(long leaseTtlMs, long orderTimeoutMs, long maxClockDriftMs, long lateOrderMarginMs) {

	/**
	 * A lease of 15 s, orders of at most 5 s, 500 ms of drift and a margin of 10 s.
	 */
	public static final OrderLeaseSettings DEFAULT = new OrderLeaseSettings(15_000, 5_000, 500, 10_000);

}
