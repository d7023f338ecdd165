package io.shallotspur.gateway;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteTable;

/**
 * Identifies the customer of a request by its API key and decides whether the request may
 * run. Stateless.
 * <p>
 * A VM that is disconnected from the store does not learn that a key was revoked, and
 * would accept a stolen key for as long as the disconnection lasts. A key is therefore
 * valid only while the configuration is confirmed to have been the newest one within the
 * operator's bound. The check applies to the time of arrival; how long the request then
 * waits for a worker does not matter, since it was sent while the key was valid.
 */
final class KeyCheck {

	// Subtracted from the operator's bound, ms: the monotonic clock and the time of day
	// have millisecond resolution and are read at slightly different moments.
	private static final long CLOCK_MARGIN_MS = 250;

	// An unknown key is rejected only if the configuration was confirmed this recently,
	// ms. A new key of a customer may have been published a moment ago.
	private static final long MAX_AGE_FOR_DENIAL_MS = 1_000;

	private KeyCheck() {
	}

	/**
	 * Evaluates the key of a request.
	 * @param table the configuration in force
	 * @param route the route of the request
	 * @param keyHash the hash of the caller's key, or {@code null} if it sent none
	 * @param configAgeMs how long ago the configuration was confirmed to be the newest
	 * one, in milliseconds
	 * @param revocationBoundMs how long a revoked key may still be accepted, in
	 * milliseconds; 0 for no bound
	 * @return the decision
	 */
	static Decision evaluate(RouteTable table, Route route, @Nullable String keyHash, long configAgeMs,
			long revocationBoundMs) {
		if (!table.requiresKeys()) {
			return Decision.admitted(null);
		}
		Optional<Customer> customer = (keyHash != null) ? table.findCustomer(keyHash) : Optional.empty();
		if (route.allowsAnonymous()) {
			return Decision.admitted(customer.orElse(null));
		}
		if (customer.isPresent()) {
			boolean fresh = revocationBoundMs == 0 || configAgeMs <= revocationBoundMs - CLOCK_MARGIN_MS;
			return fresh ? Decision.admitted(customer.get()) : Decision.REVALIDATE;
		}
		// No configuration admits a caller without a key.
		return (keyHash == null || configAgeMs <= MAX_AGE_FOR_DENIAL_MS) ? Decision.DENIED : Decision.REVALIDATE;
	}

	/**
	 * The decision on a request. Immutable.
	 *
	 * @param action what to do
	 * @param customer the customer, if the request is admitted and belongs to one
	 */
	record Decision(Action action, @Nullable Customer customer) {

		static final Decision DENIED = new Decision(Action.DENY, null);

		static final Decision REVALIDATE = new Decision(Action.REVALIDATE, null);

		static Decision admitted(@Nullable Customer customer) {
			return new Decision(Action.ADMIT, customer);
		}

	}

	/**
	 * What to do with a request.
	 */
	enum Action {

		/** Admit it. */
		ADMIT,

		/** Reject it: no customer has the key. */
		DENY,

		/** Ask the store for a newer configuration, then evaluate again. */
		REVALIDATE

	}

}
