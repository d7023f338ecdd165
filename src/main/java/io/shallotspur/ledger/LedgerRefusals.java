package io.shallotspur.ledger;

import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

/**
 * The rule that turns what the ledger knows into what a caller is told. A caller is told
 * "not run" only if nothing of the key was or will be run as far as the ledger can know;
 * whenever it may have been run, the caller is told that the outcome is unknown.
 */
public final class LedgerRefusals {

	private LedgerRefusals() {
	}

	/**
	 * The store could not be reached in time; nothing was dispatched by this call. A key
	 * that is older than a first try would be is taken for a resend, whose first try may
	 * have been run.
	 * @param maybeResend whether the key is that old
	 * @param retryAfterMs when to come back, in milliseconds
	 * @return the refusal
	 */
	public static Refusal storeUnavailable(boolean maybeResend, long retryAfterMs) {
		if (maybeResend) {
			return Refusal.outcomeUnknown(RefusalCode.STORE_UNAVAILABLE,
					"This call was not run. Whether an earlier one with this key was run cannot be read now; "
							+ "send it again with the same key.");
		}
		return Refusal.notRun(RefusalCode.STORE_UNAVAILABLE,
				"The intent to run could not be recorded, so this call was not run. Send it again with the same key.",
				retryAfterMs);
	}

	/**
	 * An earlier call with the key may have been run and its answer is lost.
	 * @return the refusal
	 */
	public static Refusal outcomeUnknown() {
		return Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN,
				"A call with this key may have been run and its answer is lost. It is not run again.");
	}

	/**
	 * An earlier call with the key is still running.
	 * @return the refusal
	 */
	public static Refusal stillRunning() {
		return Refusal.outcomeUnknown(RefusalCode.DEADLINE_PASSED,
				"A call with this key is running and its answer is not there yet. It is not run again.");
	}

	/**
	 * The key was answered and the answer is gone.
	 * @return the refusal
	 */
	public static Refusal answerNotRetained() {
		return Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN,
				"The request was run and answered; the answer is no longer kept. It is not run again.");
	}

	/**
	 * The key cannot be used.
	 * @param code why
	 * @return the refusal
	 */
	public static Refusal denied(RefusalCode code) {
		return switch (code) {
			case KEY_REUSED ->
				Refusal.notRun(code, "The key was used before with another body; this body was not run.", 0);
			case KEY_EXPIRED -> Refusal.outcomeUnknown(code,
					"The key is older than the window in which keys are remembered; it may have been run.");
			case MALFORMED_REQUEST ->
				Refusal.notRun(code, "The time that the key carries lies in the future; the call was not run.", 0);
			case KEY_REQUIRED -> Refusal.notRun(code,
					"No more keys without a time can be remembered. Send a key that carries its time.", 0);
			default -> Refusal.notRun(code, "The ledger is full; the call was not run.", 1_000);
		};
	}

}
