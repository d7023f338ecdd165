package io.shallotspur.registry;

import java.util.Comparator;

/**
 * A position in the store's history: an era, and a revision within it. A store that is
 * restored from an older snapshot begins a new era and assigns revisions again, so
 * revisions of different eras are not comparable. Immutable.
 *
 * @param era how often the store has been restored, by its own count; 0 if it does not
 * report one
 * @param revision the revision
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

	/** Before all other positions; stands for a key that does not exist. */
	public static final StorePosition NONE = new StorePosition(0, 0);

	private static final Comparator<StorePosition> ORDER = Comparator.comparingLong(StorePosition::era)
		.thenComparingLong(StorePosition::revision);

	// Leaves room for a trillion revisions in an era, and for 8,000 eras within the
	// integers that JSON readers represent exactly.
	private static final int REVISION_BITS = 40;

	@Override
	public int compareTo(StorePosition other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Returns a fencing token that increases with era and revision; workers refuse orders
	 * with a lower one. The revision alone would decrease when the store is restored.
	 * @return the token; equal to the revision if the store reports no era
	 */
	public long fencingToken() {
		return (this.era << REVISION_BITS) + this.revision;
	}

}
