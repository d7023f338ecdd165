package io.shallotspur.gateway;

/**
 * How many requests a worker takes from all VMs together, as it says itself. Immutable.
 *
 * @param perSecond requests a second, 0 or more; infinite if it names no limit
 */
public record WorkerRateLimit(double perSecond) {

	/** The worker takes whatever comes. */
	public static final WorkerRateLimit UNLIMITED = new WorkerRateLimit(Double.POSITIVE_INFINITY);

	/**
	 * Tells whether the worker names a limit.
	 * @return {@code false} if it takes whatever comes
	 */
	public boolean isLimited() {
		return this.perSecond < Double.POSITIVE_INFINITY;
	}

	@Override
	public String toString() {
		return isLimited() ? Double.toString(this.perSecond) : "none";
	}

}
