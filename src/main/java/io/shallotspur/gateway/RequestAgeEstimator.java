package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates when a caller first sent a request that it now retries. Not thread-safe;
 * confined to the gateway's thread.
 * <p>
 * The latency objective counts from the first try, and a retry arrives with less time
 * left. If retries were treated as new requests, they would overtake requests that can
 * still meet their objective although their own is missed already. The longest timeout
 * seen on a route is taken as the timeout of a first try.
 */
final class RequestAgeEstimator {

	// Configuration changes add routes. Clearing the map only loses the estimates.
	private static final int MAX_ROUTES = 10_000;

	private final Map<String, Long> longestTimeoutMs = new HashMap<>();

	/**
	 * Returns the time since the caller's first try.
	 * @param route the route
	 * @param timeoutMs the caller's remaining timeout, in milliseconds
	 * @return the age in milliseconds; 0 for a caller that sends no timeout
	 */
	long ageMs(String route, long timeoutMs) {
		if (timeoutMs == Long.MAX_VALUE) {
			return 0;
		}
		if (this.longestTimeoutMs.size() > MAX_ROUTES) {
			this.longestTimeoutMs.clear();
		}
		return this.longestTimeoutMs.merge(route, timeoutMs, Math::max) - timeoutMs;
	}

}
