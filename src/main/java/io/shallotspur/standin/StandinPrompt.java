package io.shallotspur.standin;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import net.openhft.hashing.LongHashFunction;

import io.shallotspur.node.Prompt;
import io.shallotspur.node.RefusedException;

/**
 * A prompt as the stand-in reads it, and the answer that follows from it. Immutable. The
 * answer depends on the prompt alone, so that a test can tell whether a caller got the
 * whole answer to its own request.
 *
 * @param hash hash of the text
 * @param tokens its tokens
 * @param blocks its prefix blocks
 * @param first the index of the first token of the answer that is to be generated
 * @param total the tokens of the whole answer
 * @param poison whether it crashes the worker that generates
 */
public record StandinPrompt(long hash, int tokens, long[] blocks, int first, int total, boolean poison) {

	/**
	 * A prompt that holds this word crashes each decode worker that runs it.
	 */
	public static final String POISON = "POISON";

	private static final int DEFAULT_OUTPUT = 16;

	private static final int WORDS = 46656;

	private static final int RADIX = 36;

	/**
	 * Reads a prefill request.
	 * @param request the caller's body
	 * @param resumed the answer so far
	 * @return the prompt
	 * @throws RefusedException if the body has no prompt
	 */
	static StandinPrompt read(JsonNode request, String resumed) throws RefusedException {
		String text = Prompt.text(request);
		byte[] b = text.getBytes(StandardCharsets.UTF_8);
		int first = (int) resumed.chars().filter((c) -> c == ' ').count();
		int tokens = Math.max(1, b.length / Prompt.BYTES_PER_TOKEN) + first;
		int total = request.path("max_tokens").asInt(DEFAULT_OUTPUT);
		return new StandinPrompt(hash(text), tokens, Prompt.blocks(b), first, total, text.contains(POISON));
	}

	/**
	 * Returns the whole answer to a prompt.
	 * @param text the prompt
	 * @param total the number of its tokens
	 * @return the answer
	 */
	public static String answer(String text, int total) {
		StringBuilder b = new StringBuilder();
		for (int i = 0; i < total; i++) {
			b.append(token(hash(text), i));
		}
		return b.toString();
	}

	/**
	 * Returns a token of the answer.
	 * @param index its place in the answer
	 * @return its text
	 */
	String token(int index) {
		return token(this.hash, index);
	}

	private static String token(long hash, int index) {
		long h = LongHashFunction.xx(hash).hashLong(index);
		return " " + Integer.toString((int) Long.remainderUnsigned(h, WORDS), RADIX);
	}

	private static long hash(String text) {
		return LongHashFunction.xx().hashBytes(text.getBytes(StandardCharsets.UTF_8));
	}

}
