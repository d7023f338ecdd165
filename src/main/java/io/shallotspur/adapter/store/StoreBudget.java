package io.shallotspur.adapter.store;

/**
 * How much of the store's rates the fleet may use. Immutable.
 *
 * @param readsPerSecond reads and opened watches, over 0
 * @param writesPerSecond compare-and-swaps and lease calls, over 0
 * @param maxWaitMs the longest a call waits for its turn, in milliseconds
 */
public record StoreBudget(double readsPerSecond, double writesPerSecond, long maxWaitMs) {

	/**
	 * The default: half of the reads and of the writes that the platform allows, so that
	 * operators' own tools and a second deployment have room.
	 */
	public static final StoreBudget DEFAULT = new StoreBudget(1000, 200, 1000);

}
