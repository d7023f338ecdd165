package io.shallotspur.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the router believes the prefix cache of one prefill worker holds, as hashes of
 * prompt blocks, least recently used first out. The belief follows the router's own
 * prefills and is corrected by cache events and by what each prefill really computed.
 * <p>
 * Invariant: it never holds more blocks than the cache has room for, so its memory is
 * bounded by the declared cache. Not thread-safe.
 */
public final class PrefixIndex {

	private static final int DEFAULT_BLOCKS = 4096;

	private final int capacity;

	private final LinkedHashMap<Long, Long> usedAt = new LinkedHashMap<>(16, 0.75f, true);

	private long lastSequence;

	/**
	 * Creates an empty index.
	 * @param capacityBlocks the blocks the cache holds; 0 or less if not declared
	 */
	public PrefixIndex(int capacityBlocks) {
		this.capacity = (capacityBlocks > 0) ? capacityBlocks : DEFAULT_BLOCKS;
	}

	/**
	 * Returns how many leading blocks of a prompt are held. As each hash covers all
	 * blocks before it, a binary search finds the last one held.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @return the number of leading blocks
	 */
	public int match(long[] blocks) {
		int lo = 0;
		int hi = blocks.length;
		while (lo < hi) {
			int mid = (lo + hi + 1) >>> 1;
			if (this.usedAt.containsKey(blocks[mid - 1])) {
				lo = mid;
			}
			else {
				hi = mid - 1;
			}
		}
		return lo;
	}

	/**
	 * Notes that a prompt was read. Its later blocks become the first to go.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param now the present time in milliseconds
	 */
	public void store(long[] blocks, long now) {
		int n = Math.min(blocks.length, this.capacity);
		for (int i = n - 1; i >= 0; i--) {
			this.usedAt.put(blocks[i], now);
		}
		evict();
	}

	/**
	 * Corrects the belief after a prefill found fewer blocks than expected.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param held the leading blocks that were really held
	 */
	public void correct(long[] blocks, int held) {
		for (int i = Math.max(0, held); i < blocks.length; i++) {
			this.usedAt.remove(blocks[i]);
		}
	}

	/**
	 * Applies a cache event of the worker. An event older than one applied before is
	 * dropped. After a gap in the sequence the belief is kept: a wrong belief costs one
	 * dearer prefill, which corrects it, and forgetting all would cost many.
	 * @param sequence the number of the event
	 * @param block the hash of the block
	 * @param stored {@code true} if the block was stored, {@code false} if it was evicted
	 * @param now the present time in milliseconds
	 * @param settleMs a block used within this time is not removed: the event that says
	 * so was sent before the use that brought it back
	 */
	public void apply(long sequence, long block, boolean stored, long now, long settleMs) {
		if (sequence <= this.lastSequence) {
			return;
		}
		this.lastSequence = sequence;
		Long used = this.usedAt.get(block);
		if (stored) {
			this.usedAt.put(block, (used != null) ? used : now);
			evict();
		}
		else if (used != null && now - used > settleMs) {
			this.usedAt.remove(block);
		}
	}

	/**
	 * Forgets all, after the worker came back empty.
	 */
	public void clear() {
		this.usedAt.clear();
		this.lastSequence = 0;
	}

	/**
	 * Returns how many blocks are believed held.
	 * @return the number of blocks
	 */
	public int size() {
		return this.usedAt.size();
	}

	/**
	 * Returns the blocks believed held, least recently used first.
	 * @return a new list
	 */
	public List<Long> blocks() {
		return new ArrayList<>(this.usedAt.keySet());
	}

	private void evict() {
		while (this.usedAt.size() > this.capacity) {
			Map.Entry<Long, Long> eldest = this.usedAt.entrySet().iterator().next();
			this.usedAt.remove(eldest.getKey());
		}
	}

}
