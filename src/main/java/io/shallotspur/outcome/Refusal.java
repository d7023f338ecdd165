package io.shallotspur.outcome;

/**
 * Result of a request that did not get a complete answer. Immutable.
 *
 * @param code the reason
 * @param outcome whether the request was run; never {@link Outcome#ANSWERED}
 * @param detail a description for the caller
 * @param retryAfterMs delay in milliseconds after which the caller may retry; 0 if
 * unknown or if a retry is pointless
 */
public record Refusal(RefusalCode code, Outcome outcome, String detail, long retryAfterMs) {

	/**
	 * Creates a refusal of a request that was not run.
	 * @param code the reason
	 * @param detail a description for the caller
	 * @param retryAfterMs delay in milliseconds after which the caller may retry; 0 if
	 * unknown or if a retry is pointless
	 * @return the refusal
	 */
	public static Refusal notRun(RefusalCode code, String detail, long retryAfterMs) {
		return new Refusal(code, Outcome.NOT_RUN, detail, retryAfterMs);
	}

	/**
	 * Creates a refusal of a request that may have been run.
	 * @param code the reason
	 * @param detail a description for the caller
	 * @return the refusal
	 */
	public static Refusal outcomeUnknown(RefusalCode code, String detail) {
		return new Refusal(code, Outcome.OUTCOME_UNKNOWN, detail, 0);
	}

}
