package io.shallotspur.route;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * What the operator says of a customer. Immutable.
 *
 * @param name the customer's name, as workers are told it
 * @param keyHashes the hashes of the keys that its callers send
 * ({@link io.shallotspur.contract.BearerKey#hash})
 * @param priority the rank of its requests, which goes before that of their route; 0 is
 * the highest; {@code null} if routes alone decide
 * @param quota how much it may ask for
 */
public record Customer(String name, Set<String> keyHashes, @Nullable Integer priority, Quota quota) {

	/**
	 * Creates a customer; the set is copied.
	 */
	public Customer {
		keyHashes = Set.copyOf(keyHashes);
	}

	/**
	 * Returns the rank of its requests on a route.
	 * @param route the route
	 * @return the rank; 0 is the highest
	 */
	public int priorityOn(Route route) {
		return (this.priority != null) ? this.priority : route.priority();
	}

}
