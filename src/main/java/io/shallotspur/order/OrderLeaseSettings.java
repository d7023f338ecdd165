package io.shallotspur.order;

/**
 * Times that apply to orders and to the lease under which they are sent. Immutable.
 *
 * @param leaseTtlMs how long the lease lasts without renewal, in milliseconds
 * @param orderTimeoutMs the maximum duration of an order, in milliseconds
 * @param maxClockDriftMs the maximum drift between the clocks of this node and of the
 * store over the time of a lease, in milliseconds
 * @param lateOrderMarginMs how long after the lease of a former holder its orders may
 * still arrive at an engine, in milliseconds; longer than the expected pauses and delays
 */
public record OrderLeaseSettings(long leaseTtlMs, long orderTimeoutMs, long maxClockDriftMs, long lateOrderMarginMs) {

	/**
	 * A lease of 15 s, an order timeout of 5 s, a clock drift of 500 ms and a margin of
	 * 10 s for late orders.
	 */
	public static final OrderLeaseSettings DEFAULT = new OrderLeaseSettings(15_000, 5_000, 500, 10_000);

}
