package io.shallotspur.ledger;

/**
 * Bounds of the ledger. All nodes of a deployment must have the same shards and window.
 * Immutable.
 *
 * @param timedShards shards for keys that carry their time
 * @param untimedShards shards for keys that do not; their entries are never dropped
 * @param timedSlots the most sealed segments of a timed shard
 * @param untimedSlots the most sealed segments of an untimed shard
 * @param sealThresholdBytes the head of a shard is sealed when it is larger, in bytes
 * @param maxBatchBytes the most that one write adds, in bytes
 * @param maxBatchEntries the most intents that one write adds
 * @param batchIntervalMs the least time between two writes of a shard by a node, in milliseconds
 * @param windowMs how long a timed key is remembered at least, in milliseconds
 * @param maxClockSkewMs how far the time of a key may be ahead, in milliseconds
 * @param maxInlineBytes the largest answer kept in the record, in bytes
 */
public record LedgerLimits(int timedShards, int untimedShards, int timedSlots, int untimedSlots, int sealThresholdBytes,
		int maxBatchBytes, int maxBatchEntries, long batchIntervalMs, long windowMs, long maxClockSkewMs, int maxInlineBytes) {

	/**
	 * 32 shards written at most every 100 ms: 320 writes a second at any request rate. A
	 * window of ten minutes.
	 */
	public static final LedgerLimits DEFAULT = new LedgerLimits(28, 4, 256, 512, 64 * 1024, 256 * 1024, 2_000, 100,
			600_000, 60_000, 256);

	private static final int UNTIMED_PART = 8;

	/**
	 * Creates bounds from what operators set. One shard in eight is for keys without a
	 * time.
	 * @param shards the shards of both kinds, at least 2
	 * @param batchMs the least time between two writes of a shard, in milliseconds
	 * @param windowMs how long a timed key is remembered, in milliseconds
	 * @return the bounds
	 */
	public static LedgerLimits of(int shards, long batchMs, long windowMs) {
		int untimed = Math.max(1, shards / UNTIMED_PART);
		return DEFAULT.withShards(shards - untimed, untimed)
			.withBatch(batchMs, DEFAULT.maxBatchEntries)
			.withSegments(DEFAULT.sealThresholdBytes, DEFAULT.timedSlots, windowMs);
	}

	/**
	 * Returns the number of shards of both kinds.
	 * @return the number of shards
	 */
	public int shards() {
		return this.timedShards + this.untimedShards;
	}

	/**
	 * Finds the shard of a key.
	 * @param key the digest of the key
	 * @param keyTime the time the key carries, or {@link KeyTime#NONE}
	 * @return the shard, from 0
	 */
	public int shardOf(KeyDigest key, long keyTime) {
		return (keyTime != KeyTime.NONE) ? (int) Long.remainderUnsigned(key.hi(), this.timedShards)
				: this.timedShards + (int) Long.remainderUnsigned(key.hi(), this.untimedShards);
	}

	/**
	 * Returns how many sealed segments a shard may have.
	 * @param shard the shard
	 * @return the number of segments
	 */
	public int slots(int shard) {
		return (shard < this.timedShards) ? this.timedSlots : this.untimedSlots;
	}

	/**
	 * Returns the same bounds with other batches.
	 * @param batchMs the least time between two writes of a shard, in milliseconds
	 * @param batchEntries the most intents in a write
	 * @return new bounds
	 */
	public LedgerLimits withBatch(long batchMs, int batchEntries) {
		return new LedgerLimits(this.timedShards, this.untimedShards, this.timedSlots, this.untimedSlots,
				this.sealThresholdBytes, this.maxBatchBytes, batchEntries, batchMs, this.windowMs, this.maxClockSkewMs,
				this.maxInlineBytes);
	}

	/**
	 * Returns the same bounds with other shards.
	 * @param timedShards shards for keys that carry their time
	 * @param untimedShards shards for keys that do not
	 * @return new bounds
	 */
	public LedgerLimits withShards(int timedShards, int untimedShards) {
		return new LedgerLimits(timedShards, untimedShards, this.timedSlots, this.untimedSlots, this.sealThresholdBytes,
				this.maxBatchBytes, this.maxBatchEntries, this.batchIntervalMs, this.windowMs, this.maxClockSkewMs, this.maxInlineBytes);
	}

	/**
	 * Returns the same bounds with other segments and another window.
	 * @param segmentBytes the size at which a head is sealed, in bytes
	 * @param slots the most sealed segments of a timed shard; an untimed one has twice as
	 * many
	 * @param windowMs how long a timed key is remembered, in milliseconds
	 * @return new bounds
	 */
	public LedgerLimits withSegments(int segmentBytes, int slots, long windowMs) {
		return new LedgerLimits(this.timedShards, this.untimedShards, slots, 2 * slots, segmentBytes, this.maxBatchBytes,
				this.maxBatchEntries, this.batchIntervalMs, windowMs, this.maxClockSkewMs, this.maxInlineBytes);
	}

}
