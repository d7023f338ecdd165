package io.shallotspur.registry;

import java.util.Comparator;

/**
 * A state of the store: its era, and a revision in it. A store that comes back from an
 * older copy begins a new era and gives revisions out again, so revisions of two eras say
 * nothing of each other. Immutable.
 *
 * @param era how often the store has come back from a copy, by its own count; 0 if it
 * does not say
 * @param revision the revision
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

	/** Before all others: of a key, that it is not there. */
	public static final StorePosition NONE = new StorePosition(0, 0);

	private static final Comparator<StorePosition> ORDER = Comparator.comparingLong(StorePosition::era)
		.thenComparingLong(StorePosition::revision);

	// A trillion revisions fit into an era, and 8,000 eras into the whole numbers that
	// JSON readers keep exactly.
	private static final int REVISION_BITS = 40;

	@Override
	public int compareTo(StorePosition other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Returns a number that rises with era and revision, for workers that refuse orders
	 * with a lower one. A revision alone would fall back with the store.
	 * @return the number; the revision itself if the store tells no era
	 */
	public long fencingToken() {
		return (this.era << REVISION_BITS) + this.revision;
	}

}
