package io.shallotspur.cell;

/**
 * A model request as the scheduler handles it. Immutable; the array is not copied and
 * must not be modified after construction.
 *
 * @param id unique among the requests of the node
 * @param customer the customer
 * @param className the class in the customer's contract
 * @param promptTokens the number of tokens in the prompt
 * @param prefixBlocks hashes of the leading blocks of the prompt, of
 * {@link #BLOCK_TOKENS} tokens each; each hash covers its block and all blocks before it
 * @param maxOutputTokens maximum number of output tokens, or 0 if the caller set no limit
 * @param priority the priority from the contract
 * @param ttftMs target for the time to first token (TTFT), in milliseconds after arrival
 * @param tbtMs target for the time between tokens (TBT), in milliseconds
 * @param arrivedAt when the request arrived, in milliseconds
 * @param deadlineAt when the request times out, in milliseconds
 * @param repeatable whether it may be executed again after a failure
 * @param fingerprint hash of the customer and the body; the same whenever the request is
 * sent again
 */
public record ModelRequest(String id, String customer, String className, int promptTokens, long[] prefixBlocks,
		int maxOutputTokens, int priority, long ttftMs, long tbtMs, long arrivedAt, long deadlineAt, boolean repeatable,
		long fingerprint) {

	/**
	 * Number of tokens in a prefix block.
	 */
	public static final int BLOCK_TOKENS = 256;

}
