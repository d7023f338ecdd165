package io.shallotspur.replay;

import org.HdrHistogram.Histogram;

import io.shallotspur.outcome.Outcome;
import io.shallotspur.replay.fake.EventQueue;

/**
 * The counts of one class, or of a whole replay. Not thread-safe.
 */
final class Tally {

	private static final int DIGITS = 3;

	private final Histogram ttft = new Histogram(DIGITS);

	private final Histogram tbt = new Histogram(DIGITS);

	private long requests;

	private long cancelled;

	private long completed;

	private long refusedNotRun;

	private long outcomeUnknown;

	private long lost;

	private long duplicated;

	private long stayed;

	private long good;

	private long prefillTokens;

	private long wastedPrefillTokens;

	private long workersCrashed;

	private long heldAfterGone;

	void addCall(Call call) {
		this.requests++;
		if (call.answeredTwice()) {
			this.duplicated++;
		}
		if (call.isGone()) {
			this.cancelled++;
			return;
		}
		this.stayed++;
		Outcome o = call.outcome();
		if (o == null) {
			this.lost++;
			return;
		}
		switch (o) {
			case ANSWERED -> this.completed++;
			case NOT_RUN -> this.refusedNotRun++;
			case OUTCOME_UNKNOWN -> this.outcomeUnknown++;
			default -> throw new IllegalStateException("Unknown outcome " + o);
		}
		if (call.isGood()) {
			this.good++;
		}
		if (call.sawToken()) {
			this.ttft.recordValue(Math.max(0, call.ttft()));
		}
		for (long gap : call.gaps()) {
			this.tbt.recordValue(gap);
		}
	}

	void addAttempt(Attempt a) {
		this.prefillTokens += a.computed();
		if (a.isWasted()) {
			this.wastedPrefillTokens += a.computed();
		}
	}

	void addDuplicated() {
		this.duplicated++;
	}

	/**
	 * Counts an answer with a gap or a repetition in it: its caller did not get the whole
	 * answer.
	 */
	void addBroken() {
		this.lost++;
	}

	void addCrash() {
		this.workersCrashed++;
	}

	void addHeld() {
		this.heldAfterGone++;
	}

	long requests() {
		return this.requests;
	}

	long cancelled() {
		return this.cancelled;
	}

	long completed() {
		return this.completed;
	}

	long refusedNotRun() {
		return this.refusedNotRun;
	}

	long outcomeUnknown() {
		return this.outcomeUnknown;
	}

	long lost() {
		return this.lost;
	}

	long duplicated() {
		return this.duplicated;
	}

	long stayed() {
		return this.stayed;
	}

	long good() {
		return this.good;
	}

	/**
	 * Returns the part of the requests whose caller stayed that met all targets.
	 * @return the ratio; 1 if no caller stayed
	 */
	double goodputRatio() {
		return (this.stayed > 0) ? (double) this.good / this.stayed : 1;
	}

	long prefillTokens() {
		return this.prefillTokens;
	}

	long wastedPrefillTokens() {
		return this.wastedPrefillTokens;
	}

	long workersCrashed() {
		return this.workersCrashed;
	}

	long heldAfterGone() {
		return this.heldAfterGone;
	}

	Quantiles ttft() {
		return Quantiles.of(this.ttft);
	}

	Quantiles tbt() {
		return Quantiles.of(this.tbt);
	}

	/**
	 * Three quantiles in milliseconds; zero if nothing was recorded. Immutable.
	 *
	 * @param p50 the median
	 * @param p95 95 in 100 are at most this
	 * @param p99 99 in 100 are at most this
	 */
	record Quantiles(double p50, double p95, double p99) {

		private static Quantiles of(Histogram h) {
			return new Quantiles(quantile(h, 50), quantile(h, 95), quantile(h, 99));
		}

		private static double quantile(Histogram h, double percent) {
			long micros = (h.getTotalCount() > 0) ? h.getValueAtPercentile(percent) : 0;
			return micros / (double) EventQueue.MS;
		}

	}

}
