package io.shallotspur.plain;

import io.shallotspur.fleet.Worker;

/**
 * The state of one plain worker, with an adaptive concurrency limit derived from its
 * latency. While the average latency stays close to the baseline, the limit grows by one
 * for every {@code limit} calls completed at full concurrency. A higher average indicates
 * that calls queue inside the worker, and the limit is reduced in proportion. Not
 * thread-safe.
 * <p>
 * Invariant: {@code 1 <= limit <= declared slots}, if slots are declared.
 */
final class PlainWorker {

	private static final double SMOOTHING = 0.1;

	private static final double BASELINE_DRIFT = 0.002;

	private static final double MIN_DECREASE_FACTOR = 0.9;

	private final Worker worker;

	private final double latencyTolerance;

	private double limit;

	private double baselineMs;

	private double averageMs;

	private boolean hasSamples;

	private int running;

	private boolean draining;

	PlainWorker(Worker worker, PlainSettings settings) {
		this.worker = worker;
		this.latencyTolerance = settings.latencyTolerance();
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

	void attemptCompleted(double latencyMs) {
		boolean saturated = this.running >= (int) this.limit;
		this.running--;
		recordLatency(Math.max(0.1, latencyMs));
		if (this.averageMs > this.baselineMs * this.latencyTolerance) {
			this.limit *= Math.max(MIN_DECREASE_FACTOR,
					1 - (1 - this.baselineMs * this.latencyTolerance / this.averageMs) / this.limit);
		}
		else if (saturated) {
			this.limit += 1 / this.limit;
		}
		int maxLimit = (this.worker.slots() > 0) ? this.worker.slots() : Integer.MAX_VALUE;
		this.limit = Math.max(1, Math.min(maxLimit, this.limit));
	}

	private void recordLatency(double latencyMs) {
		if (!this.hasSamples) {
			this.hasSamples = true;
			this.baselineMs = latencyMs;
			this.averageMs = latencyMs;
			return;
		}
		this.averageMs += SMOOTHING * (latencyMs - this.averageMs);
		// The baseline follows the minimum latency but drifts slowly towards the average,
		// so that it adapts to a service that has become permanently slower.
		this.baselineMs = Math.min(latencyMs, this.baselineMs + BASELINE_DRIFT * (this.averageMs - this.baselineMs));
	}

}
