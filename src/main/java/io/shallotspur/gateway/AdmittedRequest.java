package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteTable;

/**
 * A request that may run, and on what terms. Immutable.
 *
 * @param request the request
 * @param routeTable the configuration that it was judged by
 * @param route its route
 * @param customer whose it is, or {@code null} if callers need no key there
 * @param quotaCost what it has taken of the customer's quota, in the quota's units
 */
record AdmittedRequest(RelayRequest request, RouteTable routeTable, Route route, @Nullable Customer customer, double quotaCost) {

	int priority() {
		return (this.customer != null) ? this.customer.priorityOn(this.route) : this.route.priority();
	}

	@Nullable String customerName() {
		return (this.customer != null) ? this.customer.name() : null;
	}

}
