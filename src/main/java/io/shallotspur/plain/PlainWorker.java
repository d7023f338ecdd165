package io.shallotspur.plain;

import io.shallotspur.fleet.Worker;

/**
 * The state of one plain worker, with the limit of calls at a time learnt from latency.
 * As long as calls take about as long as they do at their best, the limit grows by one
 * per limit of calls; once they take longer, calls queue inside the worker, and the limit
 * shrinks in proportion. Not thread-safe.
 * <p>
 * Invariant: {@code 1 <= limit <= declared slots}, if slots are declared.
 */
final class PlainWorker {

	private static final double SMOOTHING = 0.1;

	private static final double BEST_DRIFT = 0.002;

	private static final double MOST_SHRINK = 0.9;

	private final Worker worker;

	private final double tolerance;

	private double limit;

	private double bestMs;

	private double recentMs;

	private boolean learnt;

	private int running;

	private boolean leaving;

	PlainWorker(Worker worker, PlainSettings settings) {
		this.worker = worker;
		this.tolerance = settings.tolerance();
		this.limit = (worker.slots() > 0) ? worker.slots() : settings.initialLimit();
		this.bestMs = settings.priorServiceMs();
		this.recentMs = settings.priorServiceMs();
	}

	String id() {
		return this.worker.id();
	}

	void leave() {
		this.leaving = true;
	}

	boolean leaving() {
		return this.leaving;
	}

	boolean hasRoom() {
		return !this.leaving && this.running < (int) this.limit;
	}

	double load() {
		return this.running / this.limit;
	}

	double recentMs() {
		return this.recentMs;
	}

	double limit() {
		return this.limit;
	}

	void start() {
		this.running++;
	}

	void abort() {
		this.running--;
	}

	void done(double tookMs) {
		boolean full = this.running >= (int) this.limit;
		this.running--;
		learn(Math.max(0.1, tookMs));
		if (this.recentMs > this.bestMs * this.tolerance) {
			this.limit *= Math.max(MOST_SHRINK, 1 - (1 - this.bestMs * this.tolerance / this.recentMs) / this.limit);
		}
		else if (full) {
			this.limit += 1 / this.limit;
		}
		int most = (this.worker.slots() > 0) ? this.worker.slots() : Integer.MAX_VALUE;
		this.limit = Math.max(1, Math.min(most, this.limit));
	}

	private void learn(double tookMs) {
		if (!this.learnt) {
			this.learnt = true;
			this.bestMs = tookMs;
			this.recentMs = tookMs;
			return;
		}
		this.recentMs += SMOOTHING * (tookMs - this.recentMs);
		// The best may only creep up: a service that has become slower for good is not
		// held against its former self for ever.
		this.bestMs = Math.min(tookMs, this.bestMs + BEST_DRIFT * (this.recentMs - this.bestMs));
	}

}
