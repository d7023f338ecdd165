package io.shallotspur.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.quarantine.RequestIdentity;
import io.shallotspur.quarantine.UnsettledRun;
import io.shallotspur.quarantine.UnsettledRuns;

/**
 * Marks the requests of a cell that may be causing worker crashes, so that suspects are
 * not placed on the same worker. Not thread-safe.
 */
final class CrashIsolation {

	private final CellSettings settings;

	private final CrashSuspects crashSuspects;

	private final JobLifecycle lifecycle;

	// Requests that were cancelled while they were decoding, by worker.
	private final Map<String, UnsettledRuns> cancelledRuns = new HashMap<>();

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
	 * Records that a request is being cancelled. If it was decoding, its worker may still
	 * crash because of it.
	 * @param j the request, which still has its worker
	 * @param now the current time in milliseconds
	 */
	void recordCancellation(Job j, long now) {
		if (j.stage == JobStage.DECODING && j.decodeWorker != null) {
			this.cancelledRuns.values().removeIf((r) -> r.isEmpty(now));
			this.cancelledRuns.computeIfAbsent(j.decodeWorker.id(), (id) -> new UnsettledRuns())
				.add(new UnsettledRun(RequestIdentity.of(j.request.fingerprint()), false, 0, now));
		}
	}

	/**
	 * Records the crash of a decode worker. Only the requests that were decoding there,
	 * or were cancelled shortly before, become suspects.
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
		UnsettledRuns cancelled = this.cancelledRuns.remove(workerId);
		if (cancelled != null) {
			decoding
				.addAll(UnsettledRuns.fingerprints(cancelled.endedAfter(now - UnsettledRuns.CRASH_DELAY_MS - 1, now)));
		}
		if (!decoding.isEmpty()) {
			this.crashSuspects.recordCrash(workerId, decoding, now);
		}
	}

}
