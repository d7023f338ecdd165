package io.shallotspur.cell;

import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.PrefillWorker;

/**
 * Takes the events of a cell that only report: tokens, step times, loads, caches. They
 * correct what the scheduler believes and start nothing. Not thread-safe.
 */
final class CellObserver {

	private static final long CACHE_EVENT_LAG_MS = 500;

	private final CellFleet fleet;

	private final JobTable jobs;

	private final JobFlow flow;

	private final CrashSuspects crashes;

	CellObserver(CellFleet fleet, JobTable jobs, JobFlow flow, CrashSuspects crashes) {
		this.fleet = fleet;
		this.jobs = jobs;
		this.flow = flow;
		this.crashes = crashes;
	}

	/**
	 * Takes an event.
	 * @param event the event
	 * @param now the present time in milliseconds
	 * @return {@code false} if the event does more than report
	 */
	boolean take(CellEvent event, long now) {
		if (event instanceof CellEvent.Tokens e) {
			Job j = this.jobs.byAttempt(e.attempt(), Stage.DECODING);
			if (j != null) {
				j.generated += e.count();
				j.decodedHere += e.count();
				if (this.flow.clearIfProven(j)) {
					this.crashes.recordProgress(j.request.fingerprint(), now);
				}
			}
		}
		else if (event instanceof CellEvent.StepObserved e) {
			DecodeWorker d = this.fleet.decode(e.workerId());
			if (d != null) {
				d.observeStep(e.batchSize(), e.stepMs());
			}
		}
		else if (event instanceof CellEvent.LoadReport e) {
			DecodeWorker d = this.fleet.decode(e.workerId());
			if (d != null) {
				d.recordActiveRequests(e.activeRequests());
			}
		}
		else if (event instanceof CellEvent.CacheChange e) {
			PrefillWorker p = this.fleet.prefill(e.workerId());
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
