package io.shallotspur.gateway;

/**
 * The rate of requests that a worker accepts from all VMs together, as the worker reports
 * it. Immutable.
 *
 * @param perSecond requests per second, 0 or more; infinite if the worker is not limited
 */
public record WorkerRateLimit(double perSecond) {

	/** The worker reports no limit. */
	public static final WorkerRateLimit UNLIMITED = new WorkerRateLimit(Double.POSITIVE_INFINITY);

	/**
	 * Tells whether the worker reports a limit.
	 * @return {@code false} if it accepts any rate
	 */
	public boolean isLimited() {
		return this.perSecond < Double.POSITIVE_INFINITY;
	}

	@Override
	public String toString() {
		return isLimited() ? Double.toString(this.perSecond) : "none";
	}

}
