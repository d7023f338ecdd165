package io.shallotspur.cell;

import org.jspecify.annotations.Nullable;

import io.shallotspur.admission.FairQueue;
import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.OutputLengthSample;
import io.shallotspur.routing.PrefillWorker;

/**
 * The scheduling state of a request and the resources it holds. Not thread-safe.
 * <p>
 * Invariants: {@code prefillWorker} is set from the start of a prefill until its KV cache
 * is released; {@code decodeWorker} is set while a slot on that worker is reserved or
 * held.
 */
final class Job implements FairQueue.Item {

	/**
	 * Quantile of the remaining answer length that is assumed when a resumed request is
	 * checked against its deadline: 10% of answers are shorter.
	 */
	private static final double SHORT_ANSWER_QUANTILE = 0.1;

	final ModelRequest request;

	private final String flow;

	final OutputLengthSample outputLengths;

	final long sequence;

	JobStage stage = JobStage.QUEUED;

	long attemptId;

	int attemptCount;

	int generatedTokens;

	boolean decodeStarted;

	boolean suspect;

	double chargedEngineMs;

	long stageEnteredAt;

	long kvUsableUntil;

	double predictedTransferMs;

	double predictedPrefillMs;

	long notBefore;

	int attemptTokens;

	int crashCount;

	int clearAfterTokens;

	boolean prefillWorkerLost;

	@Nullable PrefillWorker prefillWorker;

	@Nullable DecodeWorker decodeWorker;

	Job(ModelRequest request, String flow, OutputLengthSample lengths, long sequence) {
		this.request = request;
		this.flow = flow;
		this.outputLengths = lengths;
		this.sequence = sequence;
	}

	@Override
	public String flow() {
		return this.flow;
	}

	@Override
	public int priority() {
		return this.request.priority();
	}

	@Override
	public long dueAt() {
		return Math.min(this.request.arrivedAt() + this.request.ttftMs(), this.request.deadlineAt());
	}

	@Override
	public long sequence() {
		return this.sequence;
	}

	String customer() {
		return this.request.customer();
	}

	// Returns the tokens to prefill: the prompt and the tokens generated before a
	// failure.
	int promptTokens() {
		return this.request.promptTokens() + this.generatedTokens;
	}

	// Returns the expected number of tokens still to be generated.
	double expectedRemainingTokens() {
		double remaining = this.outputLengths.expectedRemaining(this.generatedTokens);
		int max = this.request.maxOutputTokens();
		return (max > 0) ? Math.min(remaining, Math.max(1, max - this.generatedTokens)) : remaining;
	}

	// Returns the deadline for the first token of the next attempt. If the caller already
	// has tokens, the rest must complete by the request's deadline. A low quantile of the
	// remaining length is used, because the expected length would abort answers that may
	// still complete in time.
	long firstTokenDeadline(double stepMs, boolean useTtftTarget) {
		if (this.generatedTokens > 0) {
			double remaining = this.outputLengths.remainingQuantile(this.generatedTokens, SHORT_ANSWER_QUANTILE);
			return this.request.deadlineAt() - (long) (remaining * stepMs);
		}
		return useTtftTarget ? dueAt() : this.request.deadlineAt();
	}

	// Returns whether the request may be retried after a failure.
	boolean isRetryable() {
		return this.request.repeatable() || !this.decodeStarted;
	}

	boolean isInFlight() {
		return this.stage != JobStage.QUEUED && this.stage != JobStage.ENDED;
	}

}
