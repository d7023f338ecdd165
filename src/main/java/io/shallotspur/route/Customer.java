package io.shallotspur.route;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The configuration of a customer. Immutable.
 *
 * @param name the customer's name, as it is sent to workers
 * @param keyHashes the hashes of the keys with which its callers authenticate
 * ({@link io.shallotspur.contract.BearerKey#hash})
 * @param priority the priority of its requests, which overrides that of the route; 0 is
 * the highest; {@code null} to use the priority of the route
 * @param quota the rate limit of the customer
 */
public record Customer(String name, Set<String> keyHashes, @Nullable Integer priority, Quota quota) {

	/**
	 * Creates a customer; the set is copied.
	 */
	public Customer {
		keyHashes = Set.copyOf(keyHashes);
	}

	/**
	 * Returns the priority of the customer's requests on a route.
	 * @param route the route
	 * @return the priority; 0 is the highest
	 */
	public int priorityOn(Route route) {
		return (this.priority != null) ? this.priority : route.priority();
	}

}
