package io.shallotspur.quota;

/**
 * By how much the quotas of customers may be exceeded over all VMs together. Immutable.
 *
 * @param windowMs the window in which usage is counted, in milliseconds
 * @param overshoot by what fraction of the quota a customer may exceed it in a window
 * @param slack by how many units it may exceed the quota in addition
 */
public record QuotaTolerance(long windowMs, double overshoot, double slack) {

	/** Quotas may not be exceeded. */
	public static final QuotaTolerance EXACT = new QuotaTolerance(1_000, 0, 0);

}
