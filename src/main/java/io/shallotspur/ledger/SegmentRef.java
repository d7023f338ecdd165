package io.shallotspur.ledger;

/**
 * Reference to a sealed segment in the head of its shard. Immutable.
 *
 * @param sequence sequence number of the segment in its shard
 * @param headVersion store version of the head from which it was sealed
 * @param maxKeyTime latest key timestamp in the segment, in milliseconds, or
 * {@link KeyTime#NONE} if it contains a key without one
 */
public record SegmentRef(long sequence, long headVersion, long maxKeyTime) {

}
