package io.shallotspur.gateway;

import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;

/**
 * When a refused caller is told to come back. Stateless.
 * <p>
 * Callers that are refused together in a burst would return together and be refused
 * again; the advice is spread over a span as long as itself.
 */
final class RetryAdvice {

	// A plain worker frees a slot every few ms; a queue of a worker's length is gone
	// after
	// this time, ms.
	private static final long PLAIN_MS = 150;

	// Model requests hold a slot for half a second to a second, ms.
	private static final long STREAM_MS = 500;

	private RetryAdvice() {
	}

	static long afterMs(Route route, double draw) {
		long base = (route.kind() == RouteKind.STREAM) ? STREAM_MS : PLAIN_MS;
		return base + (long) (base * draw);
	}

}
