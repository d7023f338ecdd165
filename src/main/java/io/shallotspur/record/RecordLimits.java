package io.shallotspur.record;

/**
 * Bounds of the writing of records. Immutable.
 *
 * @param maxPendingSlices pairs of customer and class that are held while the store
 * cannot be written
 * @param writesPerTick the most writes of one tick, so that the nodes do not overrun the
 * store when it comes back
 */
public record RecordLimits(int maxPendingSlices, int writesPerTick) {

	/**
	 * Returns the defaults: 100,000 pairs, 2 writes.
	 * @return the limits
	 */
	public static RecordLimits defaults() {
		return new RecordLimits(100_000, 2);
	}

}
