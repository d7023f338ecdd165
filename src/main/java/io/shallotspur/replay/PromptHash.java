package io.shallotspur.replay;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;

import io.shallotspur.cell.ModelRequest;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.replay.fake.PrefixCache.Prefix;

/**
 * Gives prompts of a trace, which have no text, the block hashes that real ones have:
 * prompts that share a preamble share its blocks. Stateless and thread-safe.
 */
final class PromptHash {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private static final TraceLine.Tokens NONE = new TraceLine.Tokens(null, 1, 1);

	private PromptHash() {
	}

	/**
	 * Makes the request that a scheduler sees. The length of the answer is not part of
	 * it.
	 * @param run the request
	 * @return what the scheduler sees
	 */
	static ModelRequest toModelRequest(Run run) {
		TraceLine.Request line = run.line();
		RequestClass c = run.terms();
		return new ModelRequest(run.id(), line.customer(), c.name(), tokens(run).prompt(), blocksOf(run), 0,
				c.priority(), c.ttftMs(), c.tbtMs(), run.arrivedAtMs(), run.deadlineAtMs(), c.repeatable(),
				hash(line.identity()));
	}

	/**
	 * Returns the token counts of a request; a line without any stands for one token.
	 * @param run the request
	 * @return the counts
	 */
	static TraceLine.Tokens tokens(Run run) {
		TraceLine.Tokens t = run.line().tokens();
		return (t != null) ? t : NONE;
	}

	/**
	 * Returns the hashes of the whole blocks of a preamble.
	 * @param prefix the preamble
	 * @return the hashes in order
	 */
	static long[] blocksOf(Prefix prefix) {
		long[] blocks = new long[prefix.tokens() / ModelRequest.BLOCK_TOKENS];
		fill(blocks, 0, prefix.name());
		return blocks;
	}

	private static long[] blocksOf(Run run) {
		TraceLine.Tokens t = tokens(run);
		long[] blocks = new long[t.prompt() / ModelRequest.BLOCK_TOKENS];
		Prefix p = t.prefix();
		int shared = 0;
		if (p != null) {
			long[] head = blocksOf(p);
			shared = head.length;
			System.arraycopy(head, 0, blocks, 0, shared);
		}
		fill(blocks, shared, run.line().identity());
		return blocks;
	}

	private static void fill(long[] blocks, int from, String name) {
		long h = (from > 0) ? blocks[from - 1] : 0;
		long seed = hash(name);
		for (int i = from; i < blocks.length; i++) {
			h = HASH.hashLongs(new long[] { h, seed, i });
			blocks[i] = h;
		}
	}

	private static long hash(String s) {
		return HASH.hashBytes(s.getBytes(StandardCharsets.UTF_8));
	}

}
