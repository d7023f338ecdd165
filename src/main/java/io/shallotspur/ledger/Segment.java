package io.shallotspur.ledger;

import java.util.Map;

/**
 * A sealed part of a shard: entries that are not written again. Immutable; the map must
 * not be changed after construction.
 *
 * @param ref its name
 * @param entries the entries by key
 */
public record Segment(SegmentRef ref, Map<KeyDigest, LedgerEntry> entries) {

	/**
	 * Tells whether this segment may be overwritten in its slot by another one. A writer
	 * that was paused must not overwrite what the head refers to by now.
	 * @param other the segment to be written
	 * @return {@code true} if the other one is newer
	 */
	public boolean isOlderThan(SegmentRef other) {
		return this.ref.sequence() < other.sequence()
				|| (this.ref.sequence() == other.sequence() && this.ref.headVersion() < other.headVersion());
	}

}
