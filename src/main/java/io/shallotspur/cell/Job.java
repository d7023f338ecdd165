package io.shallotspur.cell;

import org.jspecify.annotations.Nullable;

import io.shallotspur.admission.FairQueue;
import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.OutputLengthSample;
import io.shallotspur.routing.PrefillWorker;

/**
 * A request in the cell with all that is held for it. Not thread-safe.
 * <p>
 * Invariants: a prefill worker is named from the start of a prefill until its KV cache is
 * released; a decode worker is named while a slot of it is reserved or held.
 */
final class Job implements FairQueue.Item {

	/**
	 * The part of answers that may be shorter than what a refusal counts on.
	 */
	private static final double SHORT_PART = 0.1;

	final ModelRequest request;

	private final String flow;

	final OutputLengthSample lengths;

	final long sequence;

	Stage stage = Stage.QUEUED;

	long attempt;

	int tries;

	int generated;

	boolean everDecoded;

	boolean suspect;

	double charged;

	long stageSince;

	long kvUntil;

	double transferMs;

	double expectedMs;

	long notBefore;

	int decodedHere;

	int crashes;

	int provenAfter;

	boolean prefillLost;

	@Nullable PrefillWorker prefill;

	@Nullable DecodeWorker decode;

	Job(ModelRequest request, String flow, OutputLengthSample lengths, long sequence) {
		this.request = request;
		this.flow = flow;
		this.lengths = lengths;
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

	// Returns the tokens to read: the prompt and what was generated before a failure.
	int promptTokens() {
		return this.request.promptTokens() + this.generated;
	}

	// Returns the tokens still expected.
	double remainingTokens() {
		double left = this.lengths.expectedRemaining(this.generated);
		int max = this.request.maxOutputTokens();
		return (max > 0) ? Math.min(left, Math.max(1, max - this.generated)) : left;
	}

	// Returns when the next first token has to be there. A caller that already has
	// tokens waits for the rest until the deadline. Only the shortest rest that is
	// likely counts: a caller who reads an answer would lose it to a mere expectation
	// otherwise.
	long firstTokenBy(double stepMs, boolean useTarget) {
		if (this.generated > 0) {
			double rest = this.lengths.remainingQuantile(this.generated, SHORT_PART);
			return this.request.deadlineAt() - (long) (rest * stepMs);
		}
		return useTarget ? dueAt() : this.request.deadlineAt();
	}

	// Returns whether a failure may be followed by another try.
	boolean mayRunAgain() {
		return this.request.repeatable() || !this.everDecoded;
	}

	boolean inFlight() {
		return this.stage != Stage.QUEUED && this.stage != Stage.ENDED;
	}

}
