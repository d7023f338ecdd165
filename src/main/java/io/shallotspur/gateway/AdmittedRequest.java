package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteTable;

/**
 * A request that passed routing, authentication and the quota check. Immutable.
 *
 * @param request the request
 * @param routeTable the configuration used to admit it
 * @param route the matched route
 * @param customer the authenticated customer, or {@code null} for an anonymous caller
 * @param quotaCost the amount charged to the customer's quota, in the quota's units
 * @param origin where the stream began that the request resumes, or {@code null} if it
 * resumes none
 */
record AdmittedRequest(RelayRequest request, RouteTable routeTable, Route route, @Nullable Customer customer,
		double quotaCost, @Nullable StreamOrigin origin) {

	// One decimal digit for each of two priorities; those from 9 on are ranked alike.
	private static final int RANKS = 10;

	int priority() {
		return (this.customer != null) ? this.customer.priorityOn(this.route) : this.route.priority();
	}

	/**
	 * Returns the rank among the requests that wait for the same upstream. The priority
	 * of a customer ranks its requests among those of other customers; among requests of
	 * one priority, that of the route decides.
	 * @return ten times the priority plus that of the route, each 9 at most; 0 is the
	 * highest
	 */
	int rank() {
		return RANKS * Math.min(RANKS - 1, priority()) + Math.min(RANKS - 1, this.route.priority());
	}

	@Nullable String customerName() {
		return (this.customer != null) ? this.customer.name() : null;
	}

}
