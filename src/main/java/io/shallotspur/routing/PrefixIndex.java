package io.shallotspur.routing;

import java.util.LinkedHashMap;
import java.util.function.LongPredicate;

/**
 * The expected content of the prefix cache of one prefill worker, as hashes of prompt
 * blocks. It is derived from the router's own prefills and corrected by cache events and
 * by the number of tokens that each prefill actually computed.
 * <p>
 * Blocks that occurred in only one prompt are kept separately and evicted first. They are
 * rarely requested again and would otherwise displace the shared prefixes from the index
 * although the engine still has them cached. Within each group the least recently used
 * block is evicted first.
 * <p>
 * Invariant: the index never contains more blocks than the cache has capacity for, so its
 * memory is bounded by the declared cache size. Not thread-safe.
 */
public final class PrefixIndex {

	private static final int DEFAULT_CAPACITY_BLOCKS = 4096;

	private final int capacity;

	private final LongPredicate isShared;

	private final LinkedHashMap<Long, Long> sharedBlocks = new LinkedHashMap<>();

	private final LinkedHashMap<Long, Long> unsharedBlocks = new LinkedHashMap<>();

	private long lastSequence;

	/**
	 * Creates an empty index.
	 * @param capacityBlocks the capacity of the cache in blocks; 0 or less if not
	 * declared
	 * @param isShared whether a block occurred in more than one prompt
	 */
	public PrefixIndex(int capacityBlocks, LongPredicate isShared) {
		this.isShared = isShared;
		this.capacity = (capacityBlocks > 0) ? capacityBlocks : DEFAULT_CAPACITY_BLOCKS;
	}

	/**
	 * Returns the number of leading blocks of a prompt that are cached. Each hash covers
	 * all preceding blocks, so a binary search finds the last cached one.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @return the number of leading blocks
	 */
	public int match(long[] blocks) {
		int low = 0;
		int high = blocks.length;
		while (low < high) {
			int middle = (low + high + 1) >>> 1;
			if (contains(blocks[middle - 1])) {
				low = middle;
			}
			else {
				high = middle - 1;
			}
		}
		return low;
	}

	/**
	 * Records that a prompt was prefilled. Of its blocks, the last ones are evicted
	 * first.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param now the current time in milliseconds
	 */
	public void recordPrompt(long[] blocks, long now) {
		int count = Math.min(blocks.length, this.capacity);
		for (int i = count - 1; i >= 0; i--) {
			this.unsharedBlocks.remove(blocks[i]);
			this.sharedBlocks.remove(blocks[i]);
			put(blocks[i], now);
		}
		evictExcess();
	}

	/**
	 * Removes the blocks that a prefill did not find in the cache.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param cachedBlocks the number of leading blocks that were actually cached
	 */
	public void removeFrom(long[] blocks, int cachedBlocks) {
		for (int i = Math.max(0, cachedBlocks); i < blocks.length; i++) {
			this.sharedBlocks.remove(blocks[i]);
			this.unsharedBlocks.remove(blocks[i]);
		}
	}

	/**
	 * Applies a cache event of the worker. An event that is not newer than the last
	 * applied one is ignored. The index is kept after a gap in the sequence: a wrong
	 * entry costs one slower prefill, which corrects it, while clearing the index would
	 * slow down many.
	 * @param sequence the sequence number of the event
	 * @param block the hash of the block
	 * @param stored {@code true} if the block was stored, {@code false} if it was evicted
	 * @param now the current time in milliseconds
	 * @param settleMs a block used within this time is not removed, in milliseconds,
	 * because the eviction event was sent before that use stored the block again
	 */
	public void applyCacheEvent(long sequence, long block, boolean stored, long now, long settleMs) {
		if (sequence <= this.lastSequence) {
			return;
		}
		this.lastSequence = sequence;
		if (stored) {
			if (!contains(block)) {
				put(block, now);
				evictExcess();
			}
		}
		else {
			this.sharedBlocks.computeIfPresent(block, (key, usedAt) -> (now - usedAt > settleMs) ? null : usedAt);
			this.unsharedBlocks.computeIfPresent(block, (key, usedAt) -> (now - usedAt > settleMs) ? null : usedAt);
		}
	}

	/**
	 * Returns whether a number of blocks fit without evicting a shared block.
	 * @param blockCount the number of blocks
	 * @return whether the blocks fit
	 */
	public boolean hasRoom(int blockCount) {
		return this.sharedBlocks.size() + blockCount <= this.capacity;
	}

	/**
	 * Returns the number of recently used shared blocks that a prompt would evict.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param cachedBlocks the number of leading blocks that are cached
	 * @param usedSince blocks last used before this time do not count, in milliseconds
	 * @return the number of blocks
	 */
	public int countEvictedShared(long[] blocks, int cachedBlocks, long usedSince) {
		int room = this.capacity - this.sharedBlocks.size();
		if (blocks.length - cachedBlocks <= room) {
			return 0;
		}
		int newShared = sharedPrefixLength(blocks) - cachedBlocks;
		if (newShared <= room || this.sharedBlocks.isEmpty()) {
			return 0;
		}
		long oldestUse = this.sharedBlocks.values().iterator().next();
		return (oldestUse >= usedSince) ? newShared - room : 0;
	}

	/**
	 * Returns the number of leading blocks of a prompt that other prompts also contain.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @return the number of blocks
	 */
	public int sharedPrefixLength(long[] blocks) {
		int low = 0;
		int high = blocks.length;
		while (low < high) {
			int middle = (low + high + 1) >>> 1;
			if (this.isShared.test(blocks[middle - 1])) {
				low = middle;
			}
			else {
				high = middle - 1;
			}
		}
		return low;
	}

	/**
	 * Returns the number of blocks in the index.
	 * @return the number of blocks
	 */
	public int size() {
		return this.sharedBlocks.size() + this.unsharedBlocks.size();
	}

	private boolean contains(long block) {
		return this.sharedBlocks.containsKey(block) || this.unsharedBlocks.containsKey(block);
	}

	private void evictExcess() {
		while (size() > this.capacity) {
			LinkedHashMap<Long, Long> source = this.unsharedBlocks.isEmpty() ? this.sharedBlocks : this.unsharedBlocks;
			Long block = source.keySet().iterator().next();
			Long usedAt = source.remove(block);
			if (source == this.unsharedBlocks && this.isShared.test(block)) {
				this.sharedBlocks.put(block, usedAt);
			}
		}
	}

	private void put(long block, long now) {
		(this.isShared.test(block) ? this.sharedBlocks : this.unsharedBlocks).put(block, now);
	}

}
