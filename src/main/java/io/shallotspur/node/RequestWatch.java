package io.shallotspur.node;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.shallotspur.contract.RequestClass;
import io.shallotspur.outcome.Outcome;
import io.shallotspur.record.RequestEnd;
import io.shallotspur.record.RequestLog;
import io.shallotspur.record.Verdict;

/**
 * Times one request and tells the log how it ended. Thread-safe: a cancellation may come
 * from another thread than the tokens.
 * <p>
 * Invariant: the log is told once.
 */
final class RequestWatch {

	private static final double TBT_QUANTILE = 0.95;

	private static final int FIRST_GAPS = 32;

	private final Admission admission;

	private final RequestLog log;

	private final LongSupplier clock;

	private final LongSupplier nanos;

	private final long startedAt;

	private long ttft = RequestEnd.NO_TOKEN;

	private long lastAt;

	private long[] gaps = new long[FIRST_GAPS];

	private int gapCount;

	private boolean told;

	RequestWatch(Admission admission, RequestLog log, LongSupplier clock, LongSupplier nanos) {
		this.admission = admission;
		this.log = log;
		this.clock = clock;
		this.nanos = nanos;
		this.startedAt = nanos.getAsLong();
	}

	synchronized void token() {
		long now = this.nanos.getAsLong();
		if (this.ttft == RequestEnd.NO_TOKEN) {
			this.ttft = micros(now - this.startedAt);
		}
		else {
			addGap(micros(now - this.lastAt));
		}
		this.lastAt = now;
	}

	synchronized void complete() {
		tell(isMet() ? Verdict.MET : Verdict.MISSED);
	}

	synchronized void error(Throwable ex) {
		boolean notRun = ex instanceof RefusedException r && r.getRefusal().outcome() == Outcome.NOT_RUN;
		tell(notRun ? Verdict.REFUSED : Verdict.UNKNOWN);
	}

	synchronized void cancel() {
		tell(Verdict.CANCELLED);
	}

	private boolean isMet() {
		RequestClass c = this.admission.requestClass();
		long whole = micros(this.nanos.getAsLong() - this.startedAt);
		return this.ttft <= micros(c.ttftMs(), TimeUnit.MILLISECONDS)
				&& whole <= micros(c.deadlineMs(), TimeUnit.MILLISECONDS)
				&& gapQuantile() <= micros(c.tbtMs(), TimeUnit.MILLISECONDS);
	}

	private long gapQuantile() {
		if (this.gapCount == 0) {
			return 0;
		}
		long[] sorted = Arrays.copyOf(this.gaps, this.gapCount);
		Arrays.sort(sorted);
		return sorted[(int) Math.ceil(TBT_QUANTILE * sorted.length) - 1];
	}

	private void tell(Verdict verdict) {
		if (this.told) {
			return;
		}
		this.told = true;
		this.log.finished(new RequestEnd(this.admission.contract().customer(), this.admission.requestClass().name(),
				verdict, this.ttft, Arrays.copyOf(this.gaps, this.gapCount), 0, 0), this.clock.getAsLong());
	}

	private void addGap(long gap) {
		if (this.gapCount == this.gaps.length) {
			this.gaps = Arrays.copyOf(this.gaps, 2 * this.gapCount);
		}
		this.gaps[this.gapCount++] = gap;
	}

	private static long micros(long nanos) {
		return micros(nanos, TimeUnit.NANOSECONDS);
	}

	private static long micros(long time, TimeUnit unit) {
		return unit.toMicros(time);
	}

}
