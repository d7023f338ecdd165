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

	private static final double BASELINE_DRIFT = 0.002;

	private static final double MIN_DECREASE_FACTOR = 0.9;

	private final Worker worker;

	private final double tolerance;

	private double limit;

	private double baselineMs;

	private double averageMs;

	private boolean hasSamples;

	private int running;

	private boolean draining;

	PlainWorker(Worker worker, PlainSettings settings) {
		this.worker = worker;
		this.tolerance = settings.latencyTolerance();
		this.limit = (worker.slots() > 0) ? worker.slots() : settings.initialConcurrency();
		this.baselineMs = settings.initialServiceMs();
		this.averageMs = settings.initialServiceMs();
	}

	String id() {
		return this.worker.id();
	}

	void drain() {
		this.draining = true;
	}

	boolean draining() {
		return this.draining;
	}

	boolean hasCapacity() {
		return !this.draining && this.running < (int) this.limit;
	}

	double load() {
		return this.running / this.limit;
	}

	double averageMs() {
		return this.averageMs;
	}

	double limit() {
		return this.limit;
	}

	void attemptStarted() {
		this.running++;
	}

	void attemptAborted() {
		this.running--;
	}

	void attemptCompleted(double tookMs) {
		boolean full = this.running >= (int) this.limit;
		this.running--;
		recordLatency(Math.max(0.1, tookMs));
		if (this.averageMs > this.baselineMs * this.tolerance) {
			this.limit *= Math.max(MIN_DECREASE_FACTOR, 1 - (1 - this.baselineMs * this.tolerance / this.averageMs) / this.limit);
		}
		else if (full) {
			this.limit += 1 / this.limit;
		}
		int most = (this.worker.slots() > 0) ? this.worker.slots() : Integer.MAX_VALUE;
		this.limit = Math.max(1, Math.min(most, this.limit));
	}

	private void recordLatency(double tookMs) {
		if (!this.hasSamples) {
			this.hasSamples = true;
			this.baselineMs = tookMs;
			this.averageMs = tookMs;
			return;
		}
		this.averageMs += SMOOTHING * (tookMs - this.averageMs);
		// The best may only creep up: a service that has become slower for good is not
		// held against its former self for ever.
		this.baselineMs = Math.min(tookMs, this.baselineMs + BASELINE_DRIFT * (this.averageMs - this.baselineMs));
	}

}
