package io.shallotspur.ledger;

import java.util.Map;

/**
 * Sealed part of a shard, whose entries are never modified. Immutable; the map must not
 * be changed after construction.
 *
 * @param ref the reference that identifies it
 * @param entries the entries by key
 */
public record Segment(SegmentRef ref, Map<KeyDigest, LedgerEntry> entries) {

	/**
	 * Checks whether another segment may overwrite this one in its slot. A writer that
	 * resumes after a pause must not overwrite a newer segment to which the head refers
	 * by then.
	 * @param other reference of the segment to be written
	 * @return {@code true} if the other segment is newer
	 */
	public boolean isOlderThan(SegmentRef other) {
		return this.ref.sequence() < other.sequence()
				|| (this.ref.sequence() == other.sequence() && this.ref.headVersion() < other.headVersion());
	}

}
