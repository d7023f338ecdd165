package io.shallotspur.admission;

/**
 * A rate per second as a moving average with exponential decay and a fixed half-life. Not
 * thread-safe; the present time is an argument.
 */
public final class DecayingRate {

	private static final double HALF_LIFE_MS = 5_000;

	private static final double MS_PER_S = 1_000;

	private double perSecond;

	private long updatedAt;

	/**
	 * Creates a rate of 0.
	 * @param now the current time in milliseconds
	 */
	public DecayingRate(long now) {
		this.updatedAt = now;
	}

	/**
	 * Adds an amount.
	 * @param amount the amount
	 * @param now the current time in milliseconds
	 */
	public void add(double amount, long now) {
		this.perSecond = valueAt(now) + amount * MS_PER_S * Math.log(2) / HALF_LIFE_MS;
		this.updatedAt = now;
	}

	/**
	 * Returns the rate.
	 * @param now the current time in milliseconds
	 * @return the amount per second
	 */
	public double valueAt(long now) {
		return this.perSecond * Math.pow(0.5, Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
	}

}
