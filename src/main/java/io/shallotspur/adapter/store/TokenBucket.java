package io.shallotspur.adapter.store;

/**
 * A token bucket that lends: a call is told how long to wait for its token. Not
 * thread-safe.
 */
final class TokenBucket {

	private static final double MS_PER_SECOND = 1000;

	private double perSecond;

	private double burst;

	private double tokens;

	private long updatedAt;

	TokenBucket(double perSecond, double burst, long now) {
		this.perSecond = perSecond;
		this.burst = burst;
		this.tokens = burst;
		this.updatedAt = now;
	}

	void setRate(double perSecond, double burst, long now) {
		refill(now);
		this.perSecond = perSecond;
		this.burst = burst;
		this.tokens = Math.min(this.tokens, burst);
	}

	/**
	 * Takes a token.
	 * @param now the present time in milliseconds
	 * @param maxWaitMs the longest wait that is of use
	 * @return how long to wait, in milliseconds, or -1 if that would be too long; no
	 * token is taken then
	 */
	long take(long now, long maxWaitMs) {
		refill(now);
		double missing = 1 - this.tokens;
		long wait = (missing <= 0) ? 0 : (long) Math.ceil(missing / this.perSecond * MS_PER_SECOND);
		if (wait > maxWaitMs) {
			return -1;
		}
		this.tokens -= 1;
		return wait;
	}

	private void refill(long now) {
		double t = this.tokens + (now - this.updatedAt) / MS_PER_SECOND * this.perSecond;
		this.tokens = Math.min(this.burst, t);
		this.updatedAt = now;
	}

}
