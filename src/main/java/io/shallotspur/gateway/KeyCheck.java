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
	private static final long MARGIN_MS = 250;

	// A key that is not known is denied by a configuration that was the newest one so
	// lately, ms. A customer's new key may have been published a moment ago.
	private static final long DENIAL_MS = 1_000;

	private KeyCheck() {
	}

	/**
	 * Decides.
	 * @param t the configuration in force
	 * @param r the route of the request
	 * @param keyHash the hash of the caller's key, or {@code null} if it sent none
	 * @param proofMs how long ago the configuration surely was the newest one, in
	 * milliseconds
	 * @param revokedMs how long a revoked key may still be used, in milliseconds; 0 for
	 * no bound
	 * @return what to do
	 */
	static Verdict of(RouteTable t, Route r, @Nullable String keyHash, long proofMs, long revokedMs) {
		if (!t.asksForKeys()) {
			return Verdict.admitted(null);
		}
		Optional<Customer> c = (keyHash != null) ? t.customer(keyHash) : Optional.empty();
		if (r.anonymous()) {
			return Verdict.admitted(c.orElse(null));
		}
		if (c.isPresent()) {
			boolean proved = revokedMs == 0 || proofMs <= revokedMs - MARGIN_MS;
			return proved ? Verdict.admitted(c.get()) : Verdict.UNPROVEN;
		}
		// No configuration admits a caller without a key.
		return (keyHash == null || proofMs <= DENIAL_MS) ? Verdict.DENIED : Verdict.UNPROVEN;
	}

	/**
	 * What to do with a request. Immutable.
	 *
	 * @param action what to do
	 * @param customer whose request it is, if it is admitted and belongs to one
	 */
	record Verdict(Action action, @Nullable Customer customer) {

		static final Verdict DENIED = new Verdict(Action.DENY, null);

		static final Verdict UNPROVEN = new Verdict(Action.PROVE, null);

		static Verdict admitted(@Nullable Customer customer) {
			return new Verdict(Action.ADMIT, customer);
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
		PROVE

	}

}
