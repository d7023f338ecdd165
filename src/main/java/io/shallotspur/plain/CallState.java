package io.shallotspur.plain;

import org.jspecify.annotations.Nullable;

import io.shallotspur.admission.FairQueue;

/**
 * A call with what is held for it. Not thread-safe.
 * <p>
 * Invariant: a worker is named exactly while an attempt runs.
 */
final class CallState implements FairQueue.Item {

	final PlainRequest request;

	private final long sequence;

	long attemptId;

	int attemptCount;

	long startedAt;

	boolean mayHaveRun;

	boolean ended;

	@Nullable PlainWorker worker;

	CallState(PlainRequest request, long sequence) {
		this.request = request;
		this.sequence = sequence;
	}

	@Override
	public String flow() {
		return this.request.customer();
	}

	@Override
	public int priority() {
		return this.request.priority();
	}

	@Override
	public long dueAt() {
		return Math.min(this.request.targetAt(), this.request.deadlineAt());
	}

	@Override
	public long sequence() {
		return this.sequence;
	}

}
