package io.shallotspur.record;

/**
 * The end of one request. Immutable; the array is not copied and must not be changed.
 *
 * @param customer the customer
 * @param className the class in the customer's contract
 * @param verdict how it ended
 * @param ttftMicros time to the first token (or the whole answer of a plain call) in
 * microseconds, or -1 if nothing was sent
 * @param gapsMicros times between tokens in microseconds
 * @param prefillTokens tokens that were computed for the request
 * @param wastedPrefillTokens those of them of whose answer no token reached the caller
 */
public record RequestEnd(String customer, String className, Verdict verdict, long ttftMicros, long[] gapsMicros,
		long prefillTokens, long wastedPrefillTokens) {

	/**
	 * The value of {@link #ttftMicros()} if nothing was sent.
	 */
	public static final long NO_TOKEN = -1;

}
