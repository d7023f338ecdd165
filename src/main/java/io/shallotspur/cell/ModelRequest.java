package io.shallotspur.cell;

/**
 * A model request as the scheduler sees it. Immutable; the array is not copied and must
 * not be changed after construction.
 *
 * @param id unique among the requests of the node
 * @param customer the customer
 * @param className the class in the customer's contract
 * @param promptTokens the tokens of the whole prompt
 * @param prefixBlocks hashes of the prompt's leading blocks of {@link #BLOCK_TOKENS}
 * tokens each, every hash covering all blocks before it
 * @param maxOutputTokens the most tokens the caller wants, or 0 if it did not say
 * @param priority as in the contract
 * @param ttftMs target for the first token, in milliseconds after arrival
 * @param tbtMs target for the gaps between tokens, in milliseconds
 * @param arrivedAt when the request came, in milliseconds
 * @param deadlineAt when the answer is of no more use, in milliseconds
 * @param repeatable whether it may be run a second time after a failure
 * @param fingerprint hash of the customer and the body, the same for each resend
 */
public record ModelRequest(String id, String customer, String className, int promptTokens, long[] prefixBlocks,
		int maxOutputTokens, int priority, long ttftMs, long tbtMs, long arrivedAt, long deadlineAt, boolean repeatable,
		long fingerprint) {

	/**
	 * Tokens that one prefix block covers.
	 */
	public static final int BLOCK_TOKENS = 256;

}
