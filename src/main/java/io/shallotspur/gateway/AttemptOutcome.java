package io.shallotspur.gateway;

/**
 * The outcome of an attempt at a worker that did not succeed.
 */
public enum AttemptOutcome {

	/**
	 * The request did not leave this VM: no connection could be established.
	 */
	NOT_SENT(false),

	/**
	 * The worker stated that it has not run the request and will not run it.
	 */
	NOT_RUN(false),

	/**
	 * The worker ran the request and returned an error of its own.
	 */
	FAILED(true),

	/**
	 * The request left this VM, and no complete or trustworthy response was received.
	 */
	UNKNOWN(true);

	private final boolean mayHaveRun;

	AttemptOutcome(boolean mayHaveRun) {
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Tells whether the worker may have started to process the request.
	 * @return {@code false} only if it certainly has not
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
