package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import io.shallotspur.contract.RequestClass;
import io.shallotspur.outcome.Outcome;

/**
 * One request as a scheduler sees it, with all callers that wait for its answer: the
 * first one and its resends. Not thread-safe.
 */
final class Run {

	private final String id;

	private final TraceLine.Request line;

	private final RequestClass terms;

	private final long arrivedAtMs;

	private final List<Call> calls = new ArrayList<>();

	private @Nullable Outcome end;

	private boolean abandoned;

	private int delivered;

	private boolean dispatched;

	Run(String id, TraceLine.Request line, RequestClass terms, long arrivedAtMs) {
		this.id = id;
		this.line = line;
		this.terms = terms;
		this.arrivedAtMs = arrivedAtMs;
	}

	String id() {
		return this.id;
	}

	TraceLine.Request line() {
		return this.line;
	}

	RequestClass terms() {
		return this.terms;
	}

	long arrivedAtMs() {
		return this.arrivedAtMs;
	}

	/**
	 * Returns when the answer is of no more use: counted from when the caller sent the
	 * request.
	 * @return milliseconds since the start of the trace
	 */
	long deadlineAtMs() {
		return this.line.atMs() + this.terms.deadlineMs();
	}

	List<Call> calls() {
		return this.calls;
	}

	boolean isOpen() {
		return this.end == null && !this.abandoned;
	}

	boolean isAbandoned() {
		return this.abandoned;
	}

	@Nullable Outcome end() {
		return this.end;
	}

	void abandon() {
		this.abandoned = true;
	}

	void end(Outcome outcome) {
		this.end = outcome;
	}

	/**
	 * Returns the tokens that were sent to the callers.
	 * @return the number of tokens
	 */
	int delivered() {
		return this.delivered;
	}

	void deliver() {
		this.delivered++;
	}

	/**
	 * Returns whether it was ever sent to a worker.
	 * @return {@code false} if it surely was not run
	 */
	boolean isDispatched() {
		return this.dispatched;
	}

	void dispatch() {
		this.dispatched = true;
	}

}
