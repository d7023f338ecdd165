package io.shallotspur.gateway;

/**
 * What a request says of its prompt. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens of the answer
 * @param likelyOutputTokens the caller's estimate of the tokens of the answer; right at
 * the median and often far off
 */
public record PromptShape(int promptTokens, int maxOutputTokens, int likelyOutputTokens) {

	// Tokens set aside beyond the likely answer. Without them 21 to 22 requests were
	// dropped in a day of bursts, with them 4 to 11.
	private static final int MARGIN = 256;

	/**
	 * Returns the memory to be set aside for the request: its prompt, the likely answer
	 * and a margin. Requests at a worker are at different points of their answers, and
	 * while one grows others end, so that the longest answer for each would leave a fifth
	 * of the memory unused. Too little makes the worker drop a running request, which
	 * then waits behind all that have reservations and is read again.
	 * @return tokens
	 */
	public int reservedTokens() {
		int output = this.likelyOutputTokens + MARGIN;
		return this.promptTokens + Math.min(this.maxOutputTokens, output);
	}

}
