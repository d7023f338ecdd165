package io.shallotspur.plain;

import org.jspecify.annotations.Nullable;

import io.shallotspur.admission.FairQueue;

/**
 * The scheduling state of a call. Not thread-safe.
 * <p>
 * Invariant: {@code worker} is set exactly while an attempt is running.
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
