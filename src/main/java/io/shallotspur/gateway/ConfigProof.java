package io.shallotspur.gateway;

/**
 * How long ago the configuration in force surely was the newest one. Not thread-safe;
 * confined to the gateway's thread.
 * <p>
 * Invariants: the age is counted from when the question was sent whose answer showed the
 * configuration, since the operator may publish another one while the answer is on its
 * way; it never shrinks without a new answer.
 */
final class ConfigProof {

	// The part of the bound after which the store is asked anew while callers come. A VM
	// whose path to the store is lost right then can still serve for the rest of it, in
	// which most cuts end or its callers have gone to other VMs.
	private static final double RENEW_SHARE = 0.25;

	// Longer ago than any bound, and far enough from the least number to be subtracted.
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long revokedMs;

	private long askedAt = NEVER;

	ConfigProof(long revokedMs) {
		this.revokedMs = revokedMs;
	}

	void proved(long askedMs) {
		this.askedAt = Math.max(this.askedAt, askedMs);
	}

	long ageMs(long now) {
		return now - this.askedAt;
	}

	boolean worthRenewing(long now) {
		return this.revokedMs > 0 && ageMs(now) > RENEW_SHARE * this.revokedMs;
	}

}
