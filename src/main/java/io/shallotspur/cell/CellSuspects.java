package io.shallotspur.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;

import io.shallotspur.quarantine.CrashSuspects;

/**
 * Says which requests of a cell may be what crashes its workers. Not thread-safe.
 */
final class CellSuspects {

	private final CellSettings settings;

	private final CrashSuspects crashes;

	private final JobFlow flow;

	CellSuspects(CellSettings settings, CrashSuspects crashes, JobFlow flow) {
		this.settings = settings;
		this.crashes = crashes;
		this.flow = flow;
	}

	/**
	 * Marks a request that is a suspect; it runs alone among suspects.
	 * @param j the request
	 * @param now the present time in milliseconds
	 */
	void mark(Job j, long now) {
		boolean apart = this.settings.isEnabled(CellFeature.CRASH_ISOLATION);
		j.suspect = apart && this.crashes.isSuspect(j.request.fingerprint(), now);
		if (j.crashes == 0) {
			j.provenAfter = this.settings.suspectClearTokens();
		}
	}

	/**
	 * Takes the crash of a decode worker.
	 * @param worker the worker
	 * @param onWorker the requests that were on their way to it or running there
	 * @param now the present time in milliseconds
	 */
	void crashed(String worker, List<Job> onWorker, long now) {
		Collection<Long> running = new HashSet<>();
		onWorker.stream().filter((j) -> j.stage == Stage.DECODING).forEach((j) -> running.add(this.flow.atCrash(j)));
		if (!running.isEmpty()) {
			this.crashes.recordCrash(worker, running, now);
		}
	}

}
