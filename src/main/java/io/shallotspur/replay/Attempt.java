package io.shallotspur.replay;

import org.jspecify.annotations.Nullable;

/**
 * One try of a model request, and what became of the tokens that were computed for it.
 * Not thread-safe.
 */
final class Attempt {

	private final long id;

	private final Run run;

	private final String prefillWorker;

	private final int resumeFrom;

	private @Nullable String movingTo;

	private int transferRound;

	private boolean closed;

	private int computed;

	private boolean reached;

	Attempt(long id, Run run, String prefillWorker, int resumeFrom) {
		this.id = id;
		this.run = run;
		this.prefillWorker = prefillWorker;
		this.resumeFrom = resumeFrom;
	}

	long id() {
		return this.id;
	}

	Run run() {
		return this.run;
	}

	String prefillWorker() {
		return this.prefillWorker;
	}

	int resumeFrom() {
		return this.resumeFrom;
	}

	/**
	 * Returns the decode worker that a transfer goes to at this moment.
	 * @return the worker, or {@code null}
	 */
	@Nullable String movingTo() {
		return this.movingTo;
	}

	void moveTo(@Nullable String worker) {
		this.movingTo = worker;
	}

	/**
	 * Starts a new transfer or ends the present one, so that late answers of an earlier
	 * one are told apart.
	 * @return the number of the transfer
	 */
	int nextTransfer() {
		return ++this.transferRound;
	}

	boolean isTransfer(int round) {
		return !this.closed && this.transferRound == round;
	}

	boolean isClosed() {
		return this.closed;
	}

	void close() {
		this.closed = true;
	}

	int computed() {
		return this.computed;
	}

	void compute(int tokens) {
		this.computed = tokens;
	}

	boolean isWasted() {
		return !this.reached;
	}

	void reach() {
		this.reached = true;
	}

}
