package io.shallotspur.gateway;

/**
 * What is known when one attempt at a worker has ended without success.
 */
public enum AttemptOutcome {

	/**
	 * Nothing left this VM: the connection could not be made.
	 */
	NOT_SENT(false),

	/**
	 * The worker said that it has not run the request and never will.
	 */
	NOT_RUN(false),

	/**
	 * The worker ran the request and answered with a failure of its own.
	 */
	FAILED(true),

	/**
	 * The request left this VM and no whole answer came back, or one that cannot be
	 * trusted.
	 */
	UNKNOWN(true);

	private final boolean mayHaveRun;

	AttemptOutcome(boolean mayHaveRun) {
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Tells whether the worker may have begun to work on the request.
	 * @return {@code false} only if it surely has not
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
