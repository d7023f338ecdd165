package io.shallotspur.routing;

import java.util.LinkedHashMap;
import java.util.function.LongPredicate;

/**
 * What the router believes the prefix cache of one prefill worker holds, as hashes of
 * prompt blocks. The belief follows the router's own prefills and is corrected by cache
 * events and by what each prefill really computed.
 * <p>
 * Blocks that only one prompt had are kept apart and go first: they make up most of a
 * prompt's own part, are hardly ever asked for again, and would otherwise push the shared
 * preambles out of the index though the engine still holds them. Among the rest the least
 * recently used goes first.
 * <p>
 * Invariant: it never holds more blocks than the cache has room for, so its memory is
 * bounded by the declared cache. Not thread-safe.
 */
public final class PrefixIndex {

	private static final int DEFAULT_BLOCKS = 4096;

	private final int capacity;

	private final LongPredicate isShared;

	private final LinkedHashMap<Long, Long> shared = new LinkedHashMap<>();

	private final LinkedHashMap<Long, Long> single = new LinkedHashMap<>();

	private long lastSequence;

	/**
	 * Creates an empty index.
	 * @param capacityBlocks the blocks the cache holds; 0 or less if not declared
	 * @param isShared whether more than one prompt had a block
	 */
	public PrefixIndex(int capacityBlocks, LongPredicate isShared) {
		this.isShared = isShared;
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
			if (holds(blocks[mid - 1])) {
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
	public void recordPrompt(long[] blocks, long now) {
		int n = Math.min(blocks.length, this.capacity);
		for (int i = n - 1; i >= 0; i--) {
			this.single.remove(blocks[i]);
			this.shared.remove(blocks[i]);
			put(blocks[i], now);
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
			this.shared.remove(blocks[i]);
			this.single.remove(blocks[i]);
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
	public void applyCacheEvent(long sequence, long block, boolean stored, long now, long settleMs) {
		if (sequence <= this.lastSequence) {
			return;
		}
		this.lastSequence = sequence;
		if (stored) {
			if (!holds(block)) {
				put(block, now);
				evict();
			}
		}
		else {
			this.shared.computeIfPresent(block, (k, used) -> (now - used > settleMs) ? null : used);
			this.single.computeIfPresent(block, (k, used) -> (now - used > settleMs) ? null : used);
		}
	}

	/**
	 * Returns whether so many blocks fit without a shared one being pushed out.
	 * @param blocks the number of blocks
	 * @return whether there is room
	 */
	public boolean hasRoom(int blocks) {
		return this.shared.size() + blocks <= this.capacity;
	}

	/**
	 * Returns how many shared blocks in recent use a prompt would push out.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param held the leading blocks that are held
	 * @param since what was not used since this time is no loss, in milliseconds
	 * @return the number of blocks
	 */
	public int pushedOut(long[] blocks, int held, long since) {
		int room = this.capacity - this.shared.size();
		if (blocks.length - held <= room) {
			return 0;
		}
		int coming = sharedIn(blocks) - held;
		if (coming <= room || this.shared.isEmpty()) {
			return 0;
		}
		long oldest = this.shared.values().iterator().next();
		return (oldest >= since) ? coming - room : 0;
	}

	/**
	 * Returns how many leading blocks of a prompt other prompts had too.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @return the number of blocks
	 */
	public int sharedIn(long[] blocks) {
		int lo = 0;
		int hi = blocks.length;
		while (lo < hi) {
			int mid = (lo + hi + 1) >>> 1;
			if (this.isShared.test(blocks[mid - 1])) {
				lo = mid;
			}
			else {
				hi = mid - 1;
			}
		}
		return lo;
	}

	/**
	 * Returns how many blocks are believed held.
	 * @return the number of blocks
	 */
	public int size() {
		return this.shared.size() + this.single.size();
	}

	private boolean holds(long block) {
		return this.shared.containsKey(block) || this.single.containsKey(block);
	}

	private void evict() {
		while (size() > this.capacity) {
			LinkedHashMap<Long, Long> from = this.single.isEmpty() ? this.shared : this.single;
			Long block = from.keySet().iterator().next();
			Long used = from.remove(block);
			if (from == this.single && this.isShared.test(block)) {
				this.shared.put(block, used);
			}
		}
	}

	private void put(long block, long now) {
		(this.isShared.test(block) ? this.shared : this.single).put(block, now);
	}

}
