package io.shallotspur.gateway;

/**
 * What this VM may still spend of its part of a rate that holds for all VMs together. Not
 * thread-safe; the present time is an argument.
 * <p>
 * Invariant: what is left may be a debt, and is never more than the bucket holds.
 */
final class TokenBucket {

	private double perMs;

	private double most;

	private double level;

	private long at;

	/**
	 * Creates a bucket.
	 * @param level what it holds
	 * @param at since when, in milliseconds
	 */
	TokenBucket(double level, long at) {
		this.level = level;
		this.at = at;
	}

	/**
	 * Brings the bucket up to date. Another rate holds from now on; a smaller bucket
	 * holds at once for what is left, too.
	 * @param nextPerMs what comes in a millisecond
	 * @param nextMost how much the bucket holds
	 * @param now the present time in milliseconds
	 */
	void fill(double nextPerMs, double nextMost, long now) {
		this.level = Math.min(nextMost, this.level + this.perMs * (now - this.at));
		this.perMs = nextPerMs;
		this.most = nextMost;
		this.at = now;
	}

	double level() {
		return this.level;
	}

	double perMs() {
		return this.perMs;
	}

	double most() {
		return this.most;
	}

	void take(double amount) {
		this.level -= amount;
	}

	void giveBack(double amount) {
		this.level = Math.min(this.most, this.level + amount);
	}

	boolean isFull(long now) {
		return this.level + this.perMs * (now - this.at) >= this.most;
	}

}
