package io.shallotspur.ledger;

/**
 * Limits of the ledger. All nodes of a deployment must use the same shard counts and
 * window. Immutable.
 *
 * @param timedShards number of shards for keys with a timestamp
 * @param untimedShards number of shards for keys without a timestamp, whose entries are
 * never dropped
 * @param timedSlots maximum number of sealed segments in a timed shard
 * @param untimedSlots maximum number of sealed segments in an untimed shard
 * @param sealThresholdBytes size at which the head of a shard is sealed, in bytes
 * @param maxBatchBytes maximum size that one write adds, in bytes
 * @param maxBatchEntries maximum number of intents that one write adds
 * @param batchIntervalMs minimum time between two writes of a shard by the same node, in
 * milliseconds
 * @param windowMs minimum time for which a key with a timestamp is retained, in
 * milliseconds
 * @param maxClockSkewMs how far the timestamp of a key may be in the future, in
 * milliseconds
 * @param maxInlineBytes maximum size of an answer that is stored in the record, in bytes
 */
public record LedgerLimits(int timedShards, int untimedShards, int timedSlots, int untimedSlots, int sealThresholdBytes,
		int maxBatchBytes, int maxBatchEntries, long batchIntervalMs, long windowMs, long maxClockSkewMs,
		int maxInlineBytes) {

	/**
	 * Default limits: 32 shards, whose heads a node writes at most every 100 ms each,
	 * apart from repeats after a conflict; the window is ten minutes. While one node
	 * writes each shard, that is at most 320 head writes a second at any request rate,
	 * and more if several nodes write the same shard.
	 */
	public static final LedgerLimits DEFAULT = new LedgerLimits(28, 4, 256, 512, 64 * 1024, 256 * 1024, 2_000, 100,
			600_000, 60_000, 256);

	private static final int TOTAL_PER_UNTIMED_SHARD = 8;

	/**
	 * Creates limits from the operator's settings. One shard in eight is reserved for
	 * keys without a timestamp.
	 * @param shards total number of shards, at least 2
	 * @param batchIntervalMs minimum time between two writes of a shard, in milliseconds
	 * @param windowMs how long a key with a timestamp is retained, in milliseconds
	 * @return the limits
	 */
	public static LedgerLimits of(int shards, long batchIntervalMs, long windowMs) {
		int untimed = Math.max(1, shards / TOTAL_PER_UNTIMED_SHARD);
		return DEFAULT.withShards(shards - untimed, untimed)
			.withBatch(batchIntervalMs, DEFAULT.maxBatchEntries)
			.withSegments(DEFAULT.sealThresholdBytes, DEFAULT.timedSlots, windowMs);
	}

	/**
	 * Returns the total number of timed and untimed shards.
	 * @return the number of shards
	 */
	public int shards() {
		return this.timedShards + this.untimedShards;
	}

	/**
	 * Returns the shard to which a key is assigned.
	 * @param key the digest of the key
	 * @param keyTime the timestamp in the key in milliseconds, or {@link KeyTime#NONE}
	 * @return the shard index, from 0
	 */
	public int shardOf(KeyDigest key, long keyTime) {
		return (keyTime != KeyTime.NONE) ? (int) Long.remainderUnsigned(key.hi(), this.timedShards)
				: this.timedShards + (int) Long.remainderUnsigned(key.hi(), this.untimedShards);
	}

	/**
	 * Returns the maximum number of sealed segments in a shard.
	 * @param shard the shard index
	 * @return the number of segments
	 */
	public int slots(int shard) {
		return (shard < this.timedShards) ? this.timedSlots : this.untimedSlots;
	}

	/**
	 * Returns a copy with other batch limits.
	 * @param batchIntervalMs minimum time between two writes of a shard, in milliseconds
	 * @param maxBatchEntries maximum number of intents per write
	 * @return the new limits
	 */
	public LedgerLimits withBatch(long batchIntervalMs, int maxBatchEntries) {
		return new LedgerLimits(this.timedShards, this.untimedShards, this.timedSlots, this.untimedSlots,
				this.sealThresholdBytes, this.maxBatchBytes, maxBatchEntries, batchIntervalMs, this.windowMs,
				this.maxClockSkewMs, this.maxInlineBytes);
	}

	/**
	 * Returns a copy with other shard counts.
	 * @param timedShards number of shards for keys with a timestamp
	 * @param untimedShards number of shards for keys without a timestamp
	 * @return the new limits
	 */
	public LedgerLimits withShards(int timedShards, int untimedShards) {
		return new LedgerLimits(timedShards, untimedShards, this.timedSlots, this.untimedSlots, this.sealThresholdBytes,
				this.maxBatchBytes, this.maxBatchEntries, this.batchIntervalMs, this.windowMs, this.maxClockSkewMs,
				this.maxInlineBytes);
	}

	/**
	 * Returns a copy with other segment limits and another window.
	 * @param sealThresholdBytes size at which the head of a shard is sealed, in bytes
	 * @param slots maximum number of sealed segments in a timed shard; an untimed shard
	 * has twice as many
	 * @param windowMs how long a key with a timestamp is retained, in milliseconds
	 * @return the new limits
	 */
	public LedgerLimits withSegments(int sealThresholdBytes, int slots, long windowMs) {
		return new LedgerLimits(this.timedShards, this.untimedShards, slots, 2 * slots, sealThresholdBytes,
				this.maxBatchBytes, this.maxBatchEntries, this.batchIntervalMs, windowMs, this.maxClockSkewMs,
				this.maxInlineBytes);
	}

}
