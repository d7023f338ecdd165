package io.shallotspur.gateway;

/**
 * What this VM may still spend of its part of a rate that holds for all VMs together. Not
 * thread-safe; the present time is an argument.
 * <p>
 * Invariant: what is left may be a debt, and is never more than the bucket holds.
 */
final class TokenBucket {

	private double perMs;

	private double capacity;

	private double level;

	private long updatedAt;

	/**
	 * Creates a bucket.
	 * @param level what it holds
	 * @param updatedAt since when, in milliseconds
	 */
	TokenBucket(double level, long updatedAt) {
		this.level = level;
		this.updatedAt = updatedAt;
	}

	/**
	 * Brings the bucket up to date. Another rate holds from now on; a smaller bucket
	 * holds at once for what is left, too.
	 * @param newPerMs what comes in a millisecond
	 * @param newCapacity how much the bucket holds
	 * @param now the present time in milliseconds
	 */
	void refill(double newPerMs, double newCapacity, long now) {
		this.level = Math.min(newCapacity, this.level + this.perMs * (now - this.updatedAt));
		this.perMs = newPerMs;
		this.capacity = newCapacity;
		this.updatedAt = now;
	}

	double level() {
		return this.level;
	}

	double perMs() {
		return this.perMs;
	}

	double capacity() {
		return this.capacity;
	}

	void consume(double amount) {
		this.level -= amount;
	}

	void refund(double amount) {
		this.level = Math.min(this.capacity, this.level + amount);
	}

	boolean isFull(long now) {
		return this.level + this.perMs * (now - this.updatedAt) >= this.capacity;
	}

}
