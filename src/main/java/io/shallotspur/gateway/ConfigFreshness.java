package io.shallotspur.gateway;

/**
 * Tracks when the configuration in force was last confirmed to be the newest one. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: the age counts from when the confirming request was sent to the store,
 * since the operator may publish a newer configuration while the response is in transit;
 * the age decreases only with a new response.
 */
final class ConfigFreshness {

	// The fraction of the bound after which the configuration is refreshed while requests
	// arrive. A VM that loses its connection to the store at that moment can still serve
	// for the rest of the bound; most disconnections end within it, or the callers have
	// moved to other VMs.
	private static final double REFRESH_SHARE = 0.25;

	// Longer ago than any bound, and far enough from Long.MIN_VALUE to be subtracted
	// without overflow.
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long revocationBoundMs;

	private long confirmedAt = NEVER;

	ConfigFreshness(long revocationBoundMs) {
		this.revocationBoundMs = revocationBoundMs;
	}

	void confirm(long requestedAt) {
		this.confirmedAt = Math.max(this.confirmedAt, requestedAt);
	}

	long ageMs(long now) {
		return now - this.confirmedAt;
	}

	boolean shouldRefresh(long now) {
		return this.revocationBoundMs > 0 && ageMs(now) > REFRESH_SHARE * this.revocationBoundMs;
	}

}
