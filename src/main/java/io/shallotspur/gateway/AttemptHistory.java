package io.shallotspur.gateway;

/**
 * The accumulated outcome of all attempts of one request. Immutable.
 * <p>
 * Invariant: {@code mayHaveRun} never becomes {@code false} again, so that no later
 * attempt can turn an unknown outcome into the statement that the request has not run.
 *
 * @param sentCount attempts that left this VM
 * @param mayHaveRun whether any of them may have run
 */
public record AttemptHistory(int sentCount, boolean mayHaveRun) {

	/** The history before the first attempt. */
	public static final AttemptHistory NONE = new AttemptHistory(0, false);

	/**
	 * Adds an attempt that has ended.
	 * @param outcome its outcome
	 * @return the history with it
	 */
	public AttemptHistory with(AttemptOutcome outcome) {
		int newSentCount = (outcome == AttemptOutcome.NOT_SENT) ? this.sentCount : this.sentCount + 1;
		return new AttemptHistory(newSentCount, this.mayHaveRun || outcome.mayHaveRun());
	}

	/**
	 * Tells whether the route allows another attempt.
	 * @param maxAttempts the maximum number of workers that a request may be sent to
	 * @param repeatable whether the request is safe to run twice
	 * @return {@code true} if the request may be sent again
	 */
	public boolean allowsAnotherAttempt(int maxAttempts, boolean repeatable) {
		return this.sentCount < maxAttempts && (repeatable || !this.mayHaveRun);
	}

	/**
	 * Decides what to do after an attempt. The function is total: each history and
	 * outcome has exactly one next step. {@link NextStep#REFUSE_NOT_RUN} never follows an
	 * attempt that may have run; otherwise a caller that relies on it would repeat a
	 * renewal that was already executed.
	 * @param outcome the outcome of the latest attempt, which this history already
	 * includes
	 * @param mayRetry whether route, retry budget, time and workers allow another attempt
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
