package io.shallotspur.gateway;

/**
 * What is known of all attempts of one request so far. Immutable.
 * <p>
 * Invariant: {@code mayHaveRun} never becomes {@code false} again, so that no later
 * attempt can turn an unknown outcome into a promise that nothing ran.
 *
 * @param sentCount attempts that left this VM
 * @param mayHaveRun whether any of them may have run
 */
public record AttemptHistory(int sentCount, boolean mayHaveRun) {

	/** Before the first attempt. */
	public static final AttemptHistory NONE = new AttemptHistory(0, false);

	/**
	 * Adds an attempt that has ended.
	 * @param outcome how it ended
	 * @return the history with it
	 */
	public AttemptHistory with(AttemptOutcome outcome) {
		int newSentCount = (outcome == AttemptOutcome.NOT_SENT) ? this.sentCount : this.sentCount + 1;
		return new AttemptHistory(newSentCount, this.mayHaveRun || outcome.mayHaveRun());
	}

	/**
	 * Tells whether the terms of the route allow another attempt.
	 * @param maxAttempts the most workers a request may be sent to
	 * @param repeatable whether a second run does no harm
	 * @return {@code true} if the request may be sent once more
	 */
	public boolean allowsAnotherAttempt(int maxAttempts, boolean repeatable) {
		return this.sentCount < maxAttempts && (repeatable || !this.mayHaveRun);
	}

	/**
	 * Decides what follows. A total function: each history and end has exactly one next
	 * step, and {@link NextStep#REFUSE_NOT_RUN} is never one after an attempt that may
	 * have run. Were it, a caller who trusts the promise would send a renewal twice.
	 * @param outcome how the newest attempt, already part of this history, ended
	 * @param mayRetry whether terms, budget, time and workers allow another attempt
	 * @return the next step
	 */
	public NextStep nextStep(AttemptOutcome outcome, boolean mayRetry) {
		if (mayRetry) {
			return NextStep.RETRY;
		}
		if (!this.mayHaveRun) {
			return NextStep.REFUSE_NOT_RUN;
		}
		return (outcome == AttemptOutcome.FAILED) ? NextStep.RELAY_FAILURE : NextStep.REPORT_UNKNOWN;
	}

}
