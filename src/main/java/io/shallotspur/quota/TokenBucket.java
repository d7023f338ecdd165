package io.shallotspur.quota;

/**
 * Token bucket for this VM's share of a rate that applies to all VMs together. Not
 * thread-safe; the present time is an argument.
 * <p>
 * Invariant: the level may be negative and never exceeds the capacity.
 */
public final class TokenBucket {

	private double perMs;

	private double capacity;

	private double level;

	private long updatedAt;

	/**
	 * Creates a bucket.
	 * @param level the initial level
	 * @param updatedAt the time of that level, in milliseconds
	 */
	public TokenBucket(double level, long updatedAt) {
		this.level = level;
		this.updatedAt = updatedAt;
	}

	/**
	 * Adds the tokens that have accrued since the last update and sets a new rate and
	 * capacity. The new rate applies from now on; a lower capacity caps the current level
	 * at once.
	 * @param newPerMs tokens added per millisecond
	 * @param newCapacity the capacity
	 * @param now the present time in milliseconds
	 */
	public void refill(double newPerMs, double newCapacity, long now) {
		this.level = Math.min(newCapacity, this.level + this.perMs * (now - this.updatedAt));
		this.perMs = newPerMs;
		this.capacity = newCapacity;
		this.updatedAt = now;
	}

	/**
	 * Returns the level.
	 * @return the tokens at the last refill, less what was consumed since
	 */
	public double level() {
		return this.level;
	}

	long updatedAt() {
		return this.updatedAt;
	}

	/**
	 * Returns the rate.
	 * @return tokens added per millisecond
	 */
	public double perMs() {
		return this.perMs;
	}

	/**
	 * Returns the capacity.
	 * @return the maximum level
	 */
	public double capacity() {
		return this.capacity;
	}

	/**
	 * Takes tokens; the level may become negative.
	 * @param amount the number of tokens
	 */
	public void consume(double amount) {
		this.level -= amount;
	}

	void refund(double amount) {
		this.level = Math.min(this.capacity, this.level + amount);
	}

	boolean isFull(long now) {
		return this.level + this.perMs * (now - this.updatedAt) >= this.capacity;
	}

}
