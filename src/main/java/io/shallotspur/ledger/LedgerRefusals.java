package io.shallotspur.ledger;

import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

/**
 * Maps ledger states to refusals. A refusal reports "not run" only if, as far as the
 * ledger can know, no request with the key was or will be run. If one may have been run,
 * the refusal reports an unknown outcome.
 */
public final class LedgerRefusals {

	private LedgerRefusals() {
	}

	/**
	 * Creates the refusal for a store that could not be reached in time; this call
	 * dispatched nothing. A key too old for a first attempt is treated as that of a
	 * retry, whose first attempt may have been run.
	 * @param possibleRetry whether the key is too old for a first attempt
	 * @param retryAfterMs delay before a retry, in milliseconds
	 * @return the refusal
	 */
	public static Refusal storeUnavailable(boolean possibleRetry, long retryAfterMs) {
		if (possibleRetry) {
			return Refusal.outcomeUnknown(RefusalCode.STORE_UNAVAILABLE,
					"This call was not run. It cannot be determined now whether an earlier call with this key was run; "
							+ "send it again with the same key.");
		}
		return Refusal.notRun(RefusalCode.STORE_UNAVAILABLE,
				"The intent to run could not be recorded, so this call was not run. Send it again with the same key.",
				retryAfterMs);
	}

	/**
	 * Creates the refusal for a key whose earlier call may have been run and whose answer
	 * is lost.
	 * @return the refusal
	 */
	public static Refusal outcomeUnknown() {
		return Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN,
				"A call with this key may have been run, but its answer is lost. The request is not run again.");
	}

	/**
	 * Creates the refusal for a key whose earlier call is still running.
	 * @return the refusal
	 */
	public static Refusal stillRunning() {
		return Refusal.outcomeUnknown(RefusalCode.DEADLINE_PASSED,
				"A call with this key is still running and has no answer yet. The request is not run again.");
	}

	/**
	 * Creates the refusal for a request that was answered but whose answer is no longer
	 * retained.
	 * @return the refusal
	 */
	public static Refusal answerNotRetained() {
		return Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN,
				"The request was run and answered, but the answer is no longer kept. It is not run again.");
	}

	/**
	 * Creates the refusal for a key that cannot be used.
	 * @param code the reason
	 * @return the refusal
	 */
	public static Refusal denied(RefusalCode code) {
		return switch (code) {
			case KEY_REUSED ->
				Refusal.notRun(code, "The key was used before with another body; this body was not run.", 0);
			case KEY_EXPIRED -> Refusal.outcomeUnknown(code,
					"The key is older than the retention window of keys; the request may have been run.");
			case MALFORMED_REQUEST ->
				Refusal.notRun(code, "The timestamp of the key is too far in the future; the call was not run.", 0);
			case KEY_REQUIRED -> Refusal.notRun(code,
					"No more keys without a timestamp can be stored. Send a key that contains a timestamp.", 0);
			default -> Refusal.notRun(code, "The ledger is full; the call was not run.", 1_000);
		};
	}

}
