package io.shallotspur.node.order;

import java.util.Set;

import io.shallotspur.order.OrderLeaseSettings;

/**
 * Settings of the orders to engines. Immutable.
 *
 * @param limits the times of the lease
 * @param fencingUpstreams the upstreams whose engines refuse an order with an old number;
 * all others are taken not to
 * @param tries how often an order is given before it fails
 * @param retryMs the wait between tries, in milliseconds
 */
public record OrderSettings(OrderLeaseSettings limits, Set<String> fencingUpstreams, int tries, long retryMs) {

	/**
	 * Five tries, half a second apart; no upstream is taken to check fencing.
	 */
	public static final OrderSettings DEFAULT = new OrderSettings(OrderLeaseSettings.DEFAULT, Set.of(), 5, 500);

	public OrderSettings {
		fencingUpstreams = Set.copyOf(fencingUpstreams);
	}

}
