package io.shallotspur.registry;

import java.util.OptionalLong;

/**
 * Tracks the store's era, which is the store's own count of its restores from a snapshot,
 * and compares the era of each response with it. Not thread-safe; confined to the
 * gateway's thread.
 * <p>
 * Invariant: the era never decreases. A response of an earlier era, delayed on another
 * connection, describes data that the store no longer has.
 */
public final class EraTracker {

	private static final long NO_ERA = 0;

	private boolean initialized;

	private long era = NO_ERA;

	/**
	 * Returns the era.
	 * @return the latest era that a response has named, or 0 if none has
	 */
	public long era() {
		return this.era;
	}

	/**
	 * Returns whether any response has been received.
	 * @return {@code false} if the era cannot be known yet
	 */
	public boolean initialized() {
		return this.initialized;
	}

	/**
	 * Processes the era of a response. A response without an era is current as long as no
	 * response has named one, because such a store does not count its restores. After
	 * that it could belong to any era.
	 * @param received the era of the response, or empty if it has none or an unreadable
	 * one
	 * @return how the era compares with the latest known one
	 */
	public EraStatus observe(OptionalLong received) {
		long next = received.orElse(NO_ERA);
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
	 * How the era of a response compares with the latest known era.
	 */
	public enum EraStatus {

		/**
		 * The response names the latest known era, or it is the first one received: no
		 * restore of the store was observed.
		 */
		CURRENT,

		/**
		 * The response names a later era than all before: the store was restored from an
		 * older snapshot.
		 */
		RESTORED,

		/**
		 * The response names an earlier era, or none although a previous response named
		 * one: it may describe data from before the last restore.
		 */
		OUTDATED

	}

}
