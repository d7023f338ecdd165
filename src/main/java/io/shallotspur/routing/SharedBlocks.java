package io.shallotspur.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks which prompt blocks occurred in more than one prompt. Memory is bounded: the
 * least recently used blocks are evicted. Not thread-safe.
 */
public final class SharedBlocks {

	private final Map<Long, Boolean> sharedByBlock;

	/**
	 * Creates an empty table.
	 * @param capacity the maximum number of tracked blocks
	 */
	public SharedBlocks(int capacity) {
		this.sharedByBlock = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > capacity;
			}

		};
	}

	/**
	 * Records the blocks of a prompt. The hash of a block covers all preceding blocks, so
	 * the blocks shared with earlier prompts are always the first ones.
	 * @param blocks the hashes of the prompt's leading blocks
	 */
	public void recordPrompt(long[] blocks) {
		int i = 0;
		while (i < blocks.length && this.sharedByBlock.get(blocks[i]) != null) {
			this.sharedByBlock.put(blocks[i], true);
			i++;
		}
		while (i < blocks.length) {
			this.sharedByBlock.put(blocks[i], false);
			i++;
		}
	}

	/**
	 * Returns whether a block occurred in more than one prompt.
	 * @param block the hash of the block
	 * @return whether the block is shared
	 */
	public boolean isShared(long block) {
		return Boolean.TRUE.equals(this.sharedByBlock.get(block));
	}

}
