package io.shallotspur.ledger;

import java.util.List;
import java.util.Map;

/**
 * Head of a shard as stored: the recent entries and the references to the sealed
 * segments. Immutable; the map must not be changed after construction.
 *
 * @param sequence sequence number of the segment to which the head will be sealed
 * @param keyTimeWatermark keys with this timestamp or an earlier one may have been
 * dropped; in milliseconds
 * @param segments the sealed segments, oldest first
 * @param batches ids of the latest writes, oldest first
 * @param entries the entries by key
 */
public record ShardHead(long sequence, long keyTimeWatermark, List<SegmentRef> segments, List<BatchId> batches,
		Map<KeyDigest, LedgerEntry> entries) {

	/**
	 * Head of a shard that was never written.
	 */
	public static final ShardHead EMPTY = new ShardHead(0, Long.MIN_VALUE, List.of(), List.of(), Map.of());

	/**
	 * Maximum number of retained batch ids.
	 */
	public static final int MAX_BATCHES = 16;

	public ShardHead {
		segments = List.copyOf(segments);
		batches = List.copyOf(batches);
	}

}
