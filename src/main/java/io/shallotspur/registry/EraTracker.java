package io.shallotspur.registry;

import java.util.OptionalLong;

/**
 * Places each answer of the store in one of its eras. Not thread-safe; confined to the
 * gateway's thread.
 * <p>
 * Invariant: the era never falls. An answer of an earlier one, late on another
 * connection, tells of what the store no longer has.
 */
public final class EraTracker {

	private static final long UNTOLD = 0;

	private boolean initialized;

	private long era = UNTOLD;

	/**
	 * Returns the era.
	 * @return the latest that was told, or 0 if none was
	 */
	public long era() {
		return this.era;
	}

	/**
	 * Tells whether any answer has come.
	 * @return {@code false} if the era cannot be known yet
	 */
	public boolean initialized() {
		return this.initialized;
	}

	/**
	 * Takes an answer. One without an era is good as long as no answer had one: the store
	 * has no eras then. Later it could be of any.
	 * @param told the era that the answer bears, or empty if it bears none that can be
	 * read
	 * @return what to make of the answer
	 */
	public EraStatus observe(OptionalLong told) {
		long next = told.orElse(UNTOLD);
		boolean first = !this.initialized;
		this.initialized = true;
		if (next < this.era) {
			return EraStatus.OUTDATED;
		}
		if (next == this.era) {
			return EraStatus.CURRENT;
		}
		this.era = next;
		return first ? EraStatus.CURRENT : EraStatus.RESTORED;
	}

	/**
	 * What an answer shows.
	 */
	public enum EraStatus {

		/** The store is in the era that is known. */
		CURRENT,

		/** The store has come back from an older copy. */
		RESTORED,

		/** The answer is of an earlier era, or of one that cannot be told. */
		OUTDATED

	}

}
