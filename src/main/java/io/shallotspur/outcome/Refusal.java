package io.shallotspur.outcome;

/**
 * The end of a request that got no whole answer. Immutable.
 *
 * @param code why
 * @param outcome whether the request was run; never {@link Outcome#ANSWERED}
 * @param detail a sentence for the caller
 * @param retryAfterMs when it may be worth coming back, in milliseconds from now; 0 if
 * unknown or never
 */
public record Refusal(RefusalCode code, Outcome outcome, String detail, long retryAfterMs) {

	/**
	 * Creates a refusal of a request that was not run.
	 * @param code why
	 * @param detail a sentence for the caller
	 * @param retryAfterMs when to come back, in milliseconds; 0 if unknown or never
	 * @return the refusal
	 */
	public static Refusal notRun(RefusalCode code, String detail, long retryAfterMs) {
		return new Refusal(code, Outcome.NOT_RUN, detail, retryAfterMs);
	}

	/**
	 * Creates the end of a request that may have been run.
	 * @param code why
	 * @param detail a sentence for the caller
	 * @return the refusal
	 */
	public static Refusal outcomeUnknown(RefusalCode code, String detail) {
		return new Refusal(code, Outcome.OUTCOME_UNKNOWN, detail, 0);
	}

}
