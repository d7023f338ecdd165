package io.shallotspur.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Knows which prompt blocks more than one prompt had. Bounded: the blocks seen longest
 * ago are forgotten. Not thread-safe.
 */
public final class SharedBlocks {

	private final Map<Long, Boolean> seen;

	/**
	 * Creates an empty table.
	 * @param capacity the most blocks remembered
	 */
	public SharedBlocks(int capacity) {
		this.seen = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > capacity;
			}

		};
	}

	/**
	 * Notes a prompt. As each hash covers all blocks before it, the blocks it has in
	 * common with earlier prompts are its first ones.
	 * @param blocks the hashes of the prompt's leading blocks
	 */
	public void recordPrompt(long[] blocks) {
		int i = 0;
		while (i < blocks.length && this.seen.get(blocks[i]) != null) {
			this.seen.put(blocks[i], true);
			i++;
		}
		while (i < blocks.length) {
			this.seen.put(blocks[i], false);
			i++;
		}
	}

	/**
	 * Returns whether a block was part of more than one prompt.
	 * @param block the hash of the block
	 * @return whether it is shared
	 */
	public boolean isShared(long block) {
		return Boolean.TRUE.equals(this.seen.get(block));
	}

}
