package io.shallotspur.cell;

import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.PrefillWorker;

/**
 * Handles the events that only report state: tokens, step durations, loads and cache
 * changes. They update the scheduler's estimates and trigger no action. Not thread-safe.
 */
final class CellReportHandler {

	private static final long CACHE_EVENT_LAG_MS = 500;

	private final CellFleet fleet;

	private final JobTable jobs;

	private final JobLifecycle lifecycle;

	private final CrashSuspects crashSuspects;

	CellReportHandler(CellFleet fleet, JobTable jobs, JobLifecycle lifecycle, CrashSuspects crashSuspects) {
		this.fleet = fleet;
		this.jobs = jobs;
		this.lifecycle = lifecycle;
		this.crashSuspects = crashSuspects;
	}

	/**
	 * Handles an event if it is a report.
	 * @param event the event
	 * @param now the current time in milliseconds
	 * @return whether the event was handled; {@code false} if it is not a report
	 */
	boolean handle(CellEvent event, long now) {
		if (event instanceof CellEvent.Tokens e) {
			Job j = this.jobs.findByAttempt(e.attempt(), JobStage.DECODING);
			if (j != null) {
				j.generatedTokens += e.count();
				j.attemptTokens += e.count();
				if (this.lifecycle.endIsolationIfProven(j)) {
					this.crashSuspects.recordProgress(j.request.fingerprint(), now);
				}
			}
		}
		else if (event instanceof CellEvent.StepObserved e) {
			DecodeWorker d = this.fleet.decodeWorker(e.workerId());
			if (d != null) {
				d.observeStep(e.batchSize(), e.stepMs());
			}
		}
		else if (event instanceof CellEvent.LoadReport e) {
			DecodeWorker d = this.fleet.decodeWorker(e.workerId());
			if (d != null) {
				d.recordActiveRequests(e.activeRequests());
			}
		}
		else if (event instanceof CellEvent.CacheChange e) {
			PrefillWorker p = this.fleet.prefillWorker(e.workerId());
			if (p != null) {
				p.prefixIndex().applyCacheEvent(e.sequence(), e.block(), e.stored(), now, CACHE_EVENT_LAG_MS);
			}
		}
		else {
			return false;
		}
		return true;
	}

}
