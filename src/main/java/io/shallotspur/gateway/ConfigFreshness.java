package io.shallotspur.gateway;

/**
 * How long ago the configuration in force surely was the newest one. Not thread-safe;
 * confined to the gateway's thread.
 * <p>
 * Invariants: the age is counted from when the question was sent whose answer showed the
 * configuration, since the operator may publish another one while the answer is on its
 * way; it never shrinks without a new answer.
 */
final class ConfigFreshness {

	// The part of the bound after which the store is asked anew while callers come. A VM
	// whose path to the store is lost right then can still serve for the rest of it, in
	// which most cuts end or its callers have gone to other VMs.
	private static final double REFRESH_SHARE = 0.25;

	// Longer ago than any bound, and far enough from the least number to be subtracted.
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
