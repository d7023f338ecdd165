package io.shallotspur.ledger;

import java.util.List;
import java.util.Map;

/**
 * The head of a shard as it stands in the store: the entries of late and the names of the
 * sealed segments. Immutable; the map must not be changed after construction.
 *
 * @param sequence the number that the head will have when it is sealed
 * @param keyTimeWatermark keys that carry this time or an earlier one may have been dropped
 * @param segments the sealed segments, oldest first
 * @param batches the latest writes, oldest first
 * @param entries the entries by key
 */
public record ShardHead(long sequence, long keyTimeWatermark, List<SegmentRef> segments, List<BatchId> batches,
		Map<KeyDigest, LedgerEntry> entries) {

	/**
	 * The record of a shard that was never written.
	 */
	public static final ShardHead EMPTY = new ShardHead(0, Long.MIN_VALUE, List.of(), List.of(), Map.of());

	/**
	 * The most batch ids kept.
	 */
	public static final int MAX_BATCHES = 16;

	public ShardHead {
		segments = List.copyOf(segments);
		batches = List.copyOf(batches);
	}

}
