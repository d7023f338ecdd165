package io.shallotspur.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.tinylog.Logger;

import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.quarantine.CrashedRun;
import io.shallotspur.quarantine.CrashedRuns;
import io.shallotspur.quarantine.PartFingerprint;
import io.shallotspur.quarantine.QuarantineLimits;
import io.shallotspur.quarantine.RequestIdentity;
import io.shallotspur.quarantine.Suspect;

/**
 * The requests, and the parts of prompts, that crash the workers that run them, as known
 * to this VM. Callers send such a request again, or others with the part, to any VM, and
 * each time another worker is lost with all that runs there. Not thread-safe; confined to
 * the gateway's thread.
 * <p>
 * Invariant: a request that is known to be in quarantine, or a part of its prompt, is not
 * sent to any worker.
 */
public final class RequestQuarantine {

	private final CrashSuspects suspects = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);

	private final RelayMetrics metrics;

	private Runnable changeListener = () -> {
	};

	RequestQuarantine(RelayMetrics metrics) {
		this.metrics = metrics;
	}

	/**
	 * Sets the listener for changes that this VM observed, which other VMs do not know.
	 * @param listener called after each change
	 */
	public void setChangeListener(Runnable listener) {
		this.changeListener = listener;
	}

	boolean contains(LazyIdentity identity, long now) {
		return !this.suspects.isEmpty() && contains(identity.value(), now);
	}

	boolean contains(RequestIdentity request, long now) {
		Set<Long> causes = this.suspects.review(request, now);
		if (!causes.isEmpty()) {
			logQuarantined(causes, "observed");
			this.changeListener.run();
		}
		return this.suspects.isQuarantined(request, now);
	}

	/**
	 * Returns how long a request will still be refused.
	 * @param identity the fingerprints of the request
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it is not in quarantine
	 */
	long remainingMs(LazyIdentity identity, long now) {
		return this.suspects.quarantineRemainingMs(identity.value(), now);
	}

	/**
	 * Records the crash of a worker.
	 * @param worker the worker
	 * @param running the requests of this VM that were running on it
	 * @param at the time of the crash, in milliseconds
	 */
	void recordCrash(WorkerInfo worker, List<CrashedRun> running, long at) {
		Set<Long> causes = this.suspects.recordCrash(new CrashedRuns(worker.instanceName(), worker.upstream(), running),
				at);
		this.metrics.workerCrashed();
		Logger.info("[quarantine] worker crashed worker={} running={} progressed={} parts={}", worker.id(),
				requests(running, (r) -> true), requests(running, CrashedRun::speaksForRequest), parts(running));
		logQuarantined(causes, "observed");
		this.changeListener.run();
	}

	// A request that makes progress is less likely the cause of the crashes before.
	void recordProgress(LazyIdentity identity, long writingMs, long now) {
		if (!this.suspects.isEmpty()) {
			this.suspects.recordProgress(new CrashedRun(identity.value(), writingMs), now);
			this.changeListener.run();
		}
	}

	// A request that ran to completion did not cause the crashes before, nor did the
	// parts of its prompt.
	void recordCompletion(LazyIdentity identity, long now) {
		if (!this.suspects.isEmpty()) {
			this.suspects.recordCompletion(identity.fingerprint(), now);
		}
		recordAnswer(identity.parts(), identity.upstream(), now);
	}

	/**
	 * Records that a request ran to completion some time ago, as became known now.
	 * @param request the request
	 * @param upstream the upstream of its worker
	 * @param now the present time in milliseconds
	 */
	void recordCompletion(RequestIdentity request, String upstream, long now) {
		this.suspects.recordCompletion(request.fingerprint(), now);
		recordAnswer(request.parts(), upstream, now);
	}

	void recordAnswer(List<PartFingerprint> parts, String upstream, long now) {
		this.suspects.recordAnswer(parts, upstream, now);
		if (!this.suspects.isEmpty()) {
			this.changeListener.run();
		}
	}

	/**
	 * Merges the suspects of another VM.
	 * @param others the suspects, on this VM's clock
	 * @param now the present time in milliseconds
	 * @return the fingerprints that are newly quarantined here
	 */
	public Set<Long> merge(Collection<Suspect> others, long now) {
		Set<Long> causes = this.suspects.mergeSuspects(others, now);
		logQuarantined(causes, "reported");
		return causes;
	}

	/**
	 * Returns the suspects that have changed since the last call.
	 * @param now the present time in milliseconds
	 * @return the suspects
	 */
	public List<Suspect> drainChanges(long now) {
		return this.suspects.drainChangedSuspects(now);
	}

	/**
	 * Returns the number of suspects, with what is quarantined; also called by the thread
	 * that reads the metrics.
	 * @return the number of entries, including some that have expired
	 */
	public int size() {
		return this.suspects.size();
	}

	/**
	 * Returns all suspects.
	 * @param now the present time in milliseconds
	 * @return the suspects, the one with the latest crash first
	 */
	public List<Suspect> suspects(long now) {
		return this.suspects.suspects(now);
	}

	private void logQuarantined(Set<Long> causes, String source) {
		for (long fingerprint : causes) {
			this.metrics.quarantined();
			Logger.warn("[quarantine] {} quarantined fingerprint={} source={}",
					this.suspects.isPart(fingerprint) ? "part of prompts" : "request", Long.toHexString(fingerprint),
					source);
		}
	}

	private static List<String> requests(List<CrashedRun> running, Predicate<CrashedRun> filter) {
		return hex(running.stream().filter(filter).map((r) -> r.request().fingerprint()).toList());
	}

	// The shared parts of each prompt, in the order of the requests.
	private static List<List<String>> parts(List<CrashedRun> running) {
		return running.stream()
			.map((r) -> hex(r.request().parts().stream().map(PartFingerprint::part).toList()))
			.toList();
	}

	private static List<String> hex(Collection<Long> fingerprints) {
		return fingerprints.stream().map(Long::toHexString).toList();
	}

}
