package io.shallotspur.gateway;

import java.util.List;

/**
 * What a request says of its prompt. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens of the answer
 * @param likelyOutputTokens the caller's estimate of the tokens of the answer; right at
 * the median and often far off
 * @param partIds the ids of the prompt's parts, in order; the last one belongs to the
 * request or its session alone
 */
public record PromptShape(int promptTokens, int maxOutputTokens, int likelyOutputTokens, List<String> partIds) {

	// Tokens of an answer that are set aside at least.
	private static final int LEAST_OUTPUT = 256;

	/**
	 * Creates a shape; the list is copied.
	 */
	public PromptShape {
		partIds = List.copyOf(partIds);
	}

	/**
	 * Returns the memory to be set aside for the request: its prompt and a part of its
	 * answer. Requests at a worker are at different points of their answers; while one
	 * grows others end, so that half of what is likely, with a floor for answers that
	 * turn out longer, is enough for each.
	 * @return tokens
	 */
	public int reservedTokens() {
		int output = Math.max(LEAST_OUTPUT, this.likelyOutputTokens);
		return this.promptTokens + Math.min(this.maxOutputTokens, output);
	}

}
