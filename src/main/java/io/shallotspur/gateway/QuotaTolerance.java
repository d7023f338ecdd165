package io.shallotspur.gateway;

/**
 * How exactly customers' quotas have to be kept over all VMs together. Immutable.
 *
 * @param windowMs the time over which is counted, in milliseconds
 * @param overshoot by what part of the quota a customer may pass it in a window
 * @param slack by how many units it may pass it besides
 */
public record QuotaTolerance(long windowMs, double overshoot, double slack) {

	/** A quota is kept as it is. */
	public static final QuotaTolerance EXACT = new QuotaTolerance(1_000, 0, 0);

}
