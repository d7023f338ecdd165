package io.shallotspur.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;

import io.shallotspur.quarantine.CrashSuspects;

/**
 * Marks the requests of a cell that may be causing worker crashes, so that suspects are
 * not placed on the same worker. Not thread-safe.
 */
final class CrashIsolation {

	private final CellSettings settings;

	private final CrashSuspects crashSuspects;

	private final JobLifecycle lifecycle;

	CrashIsolation(CellSettings settings, CrashSuspects crashSuspects, JobLifecycle lifecycle) {
		this.settings = settings;
		this.crashSuspects = crashSuspects;
		this.lifecycle = lifecycle;
	}

	/**
	 * Marks a request if it is a suspect. A suspect does not share a decode worker with
	 * another suspect.
	 * @param j the request
	 * @param now the current time in milliseconds
	 */
	void updateSuspicion(Job j, long now) {
		boolean isolate = this.settings.isEnabled(CellFeature.CRASH_ISOLATION);
		j.suspect = isolate && this.crashSuspects.isSuspect(j.request.fingerprint(), now);
		if (j.crashCount == 0) {
			j.clearAfterTokens = this.settings.isolationTokens();
		}
	}

	/**
	 * Records the crash of a decode worker. Only the requests that were decoding there
	 * become suspects.
	 * @param workerId the worker
	 * @param jobsOnWorker the requests that had reserved a slot on it, were being
	 * transferred to it or were decoding there
	 * @param now the current time in milliseconds
	 */
	void recordCrash(String workerId, List<Job> jobsOnWorker, long now) {
		Collection<Long> decoding = new HashSet<>();
		jobsOnWorker.stream()
			.filter((j) -> j.stage == JobStage.DECODING)
			.forEach((j) -> decoding.add(this.lifecycle.recordCrash(j)));
		if (!decoding.isEmpty()) {
			this.crashSuspects.recordCrash(workerId, decoding, now);
		}
	}

}
