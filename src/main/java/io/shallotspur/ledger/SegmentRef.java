package io.shallotspur.ledger;

/**
 * Names a sealed segment in the head of its shard. Immutable.
 *
 * @param sequence its number in the shard
 * @param headVersion the version of the head it was sealed from
 * @param maxKeyTime the latest time that a key in it carries, or {@link KeyTime#NONE}
 */
public record SegmentRef(long sequence, long headVersion, long maxKeyTime) {

}
