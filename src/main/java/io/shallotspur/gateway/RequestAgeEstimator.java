package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long ago a caller asked for the first time. Not thread-safe; confined to
 * the gateway's thread.
 * <p>
 * A caller who was refused comes back with less time left, and its objective still counts
 * from its first try. Taken for new, it would pass others who can still be answered in
 * time, though its own answer is late already. The time that callers of a route have at
 * their first try is the longest one seen.
 */
final class RequestAgeEstimator {

	// Configurations bring new routes; forgetting the oldest only costs an estimate.
	private static final int MAX_ROUTES = 10_000;

	private final Map<String, Long> longestTimeoutMs = new HashMap<>();

	/**
	 * Returns how long ago the caller first asked.
	 * @param route the route
	 * @param waitMs how long the caller will wait from now on, in milliseconds
	 * @return the age in milliseconds; 0 for a caller that does not say how long it waits
	 */
	long ageMs(String route, long waitMs) {
		if (waitMs == Long.MAX_VALUE) {
			return 0;
		}
		if (this.longestTimeoutMs.size() > MAX_ROUTES) {
			this.longestTimeoutMs.clear();
		}
		return this.longestTimeoutMs.merge(route, waitMs, Math::max) - waitMs;
	}

}
