package io.shallotspur.gateway;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteTable;

/**
 * Decides whose request it is and whether it may run. Stateless.
 * <p>
 * A VM that is cut off from the store does not hear that a key was revoked. If it went on
 * by what it knows, a key that was stolen would open that VM for as long as the cut
 * lasts. So a key is good only while the configuration is proved to have been the newest
 * one within the operator's bound. The request is judged when it has arrived; how long it
 * then waits for a worker does not matter, as it was sent while the key was good.
 */
final class KeyCheck {

	// Kept from the operator's bound, ms: clocks of both kinds tick in milliseconds and
	// are read some lines apart.
	private static final long CLOCK_MARGIN_MS = 250;

	// A key that is not known is denied by a configuration that was the newest one so
	// lately, ms. A customer's new key may have been published a moment ago.
	private static final long MAX_AGE_FOR_DENIAL_MS = 1_000;

	private KeyCheck() {
	}

	/**
	 * Decides.
	 * @param table the configuration in force
	 * @param route the route of the request
	 * @param keyHash the hash of the caller's key, or {@code null} if it sent none
	 * @param configAgeMs how long ago the configuration surely was the newest one, in
	 * milliseconds
	 * @param revocationBoundMs how long a revoked key may still be used, in milliseconds;
	 * 0 for no bound
	 * @return what to do
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
	 * What to do with a request. Immutable.
	 *
	 * @param action what to do
	 * @param customer whose request it is, if it is admitted and belongs to one
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

		/** Let it run. */
		ADMIT,

		/** Refuse it: no customer has the key. */
		DENY,

		/** Ask the store first whether a newer configuration says otherwise. */
		REVALIDATE

	}

}
