package io.shallotspur.replay;

import java.util.Arrays;

import org.jspecify.annotations.Nullable;

import io.shallotspur.contract.RequestClass;
import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.replay.fake.EventQueue;

/**
 * One caller that waits for the answer to one line of the trace, and what it saw. Times
 * are the caller's own, in microseconds. Not thread-safe.
 */
final class Call {

	private static final double TBT_QUANTILE = 0.95;

	private final TraceLine.Request line;

	private final @Nullable RequestClass terms;

	private boolean gone;

	private @Nullable Outcome outcome;

	private int answers;

	private long firstAt = -1;

	private long lastAt = -1;

	private long endedAt = -1;

	private long[] gaps = new long[32];

	private int gapCount;

	Call(TraceLine.Request line, @Nullable RequestClass terms) {
		this.line = line;
		this.terms = terms;
	}

	TraceLine.Request line() {
		return this.line;
	}

	@Nullable RequestClass terms() {
		return this.terms;
	}

	/**
	 * The caller leaves, unless it has its answer.
	 */
	void leave() {
		if (this.outcome == null) {
			this.gone = true;
		}
	}

	/**
	 * Tokens reach the caller at once.
	 * @param count how many
	 * @param now the present time
	 * @return whether anyone is there to take them
	 */
	boolean receive(int count, long now) {
		if (this.gone) {
			return false;
		}
		if (this.firstAt < 0) {
			this.firstAt = now;
			this.lastAt = now;
			count--;
		}
		for (int i = 0; i < count; i++) {
			addGap(now - this.lastAt);
			this.lastAt = now;
		}
		return true;
	}

	/**
	 * The end of the whole answer reaches the caller.
	 * @param now the present time
	 */
	void answer(long now) {
		if (this.gone) {
			return;
		}
		this.answers++;
		if (this.outcome == null) {
			this.outcome = Outcome.ANSWERED;
			this.endedAt = now;
			this.firstAt = (this.firstAt < 0) ? now : this.firstAt;
		}
	}

	/**
	 * A typed error reaches the caller.
	 * @param refusal the error
	 * @param now the present time
	 */
	void refuse(Refusal refusal, long now) {
		if (!this.gone && this.outcome == null) {
			this.outcome = refusal.outcome();
			this.endedAt = now;
		}
	}

	boolean isGone() {
		return this.gone;
	}

	@Nullable Outcome outcome() {
		return this.outcome;
	}

	boolean answeredTwice() {
		return this.answers > 1;
	}

	boolean sawToken() {
		return this.firstAt >= 0;
	}

	long ttft() {
		return this.firstAt - this.line.atMs() * EventQueue.MS;
	}

	long[] gaps() {
		return Arrays.copyOf(this.gaps, this.gapCount);
	}

	/**
	 * Returns whether the whole answer came inside all three targets.
	 * @return whether the targets were met
	 */
	boolean isGood() {
		RequestClass t = this.terms;
		if (t == null || this.outcome != Outcome.ANSWERED) {
			return false;
		}
		long whole = this.endedAt - this.line.atMs() * EventQueue.MS;
		return ttft() <= t.ttftMs() * EventQueue.MS && whole <= t.deadlineMs() * EventQueue.MS
				&& gapQuantile() <= t.tbtMs() * EventQueue.MS;
	}

	private long gapQuantile() {
		if (this.gapCount == 0) {
			return 0;
		}
		long[] sorted = gaps();
		Arrays.sort(sorted);
		return sorted[(int) Math.ceil(TBT_QUANTILE * sorted.length) - 1];
	}

	private void addGap(long gap) {
		if (this.gapCount == this.gaps.length) {
			this.gaps = Arrays.copyOf(this.gaps, 2 * this.gapCount);
		}
		this.gaps[this.gapCount++] = gap;
	}

}
