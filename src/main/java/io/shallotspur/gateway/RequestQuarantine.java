package io.shallotspur.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.tinylog.Logger;

import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.quarantine.PartFingerprint;
import io.shallotspur.quarantine.QuarantineLimits;
import io.shallotspur.quarantine.RequestIdentity;
import io.shallotspur.quarantine.SuspectEntry;

/**
 * The requests that crash the workers that run them, as known to this VM. Callers send
 * such a request again, to any VM, and each time another worker is lost with all that
 * runs there. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: a request whose quarantine is known is not sent to any worker.
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
		return !this.suspects.isEmpty() && contains(identity.fingerprint(), now);
	}

	boolean contains(long fingerprint, long now) {
		Set<Long> causes = this.suspects.review(fingerprint, now);
		if (!causes.isEmpty()) {
			logQuarantined(causes, "observed");
			this.changeListener.run();
		}
		return this.suspects.isQuarantined(fingerprint, now);
	}

	/**
	 * Returns how long a request will still be refused.
	 * @param identity the fingerprints of the request
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it is not in quarantine
	 */
	long remainingMs(LazyIdentity identity, long now) {
		return this.suspects.quarantineRemainingMs(identity.fingerprint(), now);
	}

	/**
	 * Records the crash of a worker.
	 * @param worker the worker
	 * @param running the requests of this VM that were running on it
	 * @param progressed those of them that had made progress there
	 * @param at the time of the crash, in milliseconds
	 */
	void recordCrash(WorkerInfo worker, Collection<RequestIdentity> running, Set<Long> progressed, long at) {
		List<Long> fingerprints = running.stream().map(RequestIdentity::fingerprint).toList();
		Set<Long> causes = this.suspects.recordCrash(worker.instanceName(), fingerprints, progressed, at);
		this.metrics.workerCrashed();
		Logger.info("[quarantine] worker crashed worker={} running={} progressed={} parts={}", worker.id(),
				hex(fingerprints), hex(progressed), parts(running));
		logQuarantined(causes, "observed");
		this.changeListener.run();
	}

	// A request that makes progress is less likely the cause of the crashes before.
	void recordProgress(LazyIdentity identity, long now) {
		if (!this.suspects.isEmpty()) {
			this.suspects.recordProgress(identity.fingerprint(), now);
			this.changeListener.run();
		}
	}

	// A request that ran to completion did not cause the crashes before.
	void recordCompletion(LazyIdentity identity, long now) {
		if (!this.suspects.isEmpty()) {
			this.suspects.recordCompletion(identity.fingerprint(), now);
			this.changeListener.run();
		}
	}

	/**
	 * Merges the entries of another VM.
	 * @param entries the entries, on this VM's clock
	 * @param now the present time in milliseconds
	 * @return the fingerprints of the requests that are newly quarantined here
	 */
	public Set<Long> merge(Collection<SuspectEntry> entries, long now) {
		Set<Long> causes = this.suspects.merge(entries, now);
		logQuarantined(causes, "reported");
		return causes;
	}

	/**
	 * Returns the entries that have changed since the last call.
	 * @param now the present time in milliseconds
	 * @return the entries
	 */
	public List<SuspectEntry> drainChanges(long now) {
		return this.suspects.drainChanges(now);
	}

	/**
	 * Returns the number of suspects and quarantined requests; also called by the thread
	 * that reads the metrics.
	 * @return the number of entries, including some that have expired
	 */
	public int size() {
		return this.suspects.size();
	}

	/**
	 * Returns all entries.
	 * @param now the present time in milliseconds
	 * @return the entries, the one with the latest crash first
	 */
	public List<SuspectEntry> entries(long now) {
		return this.suspects.entries(now);
	}

	private void logQuarantined(Set<Long> causes, String source) {
		for (long fingerprint : causes) {
			this.metrics.quarantined();
			Logger.warn("[quarantine] request quarantined fingerprint={} source={}", Long.toHexString(fingerprint),
					source);
		}
	}

	// The shared parts of each prompt, in the order of the requests.
	private static List<List<String>> parts(Collection<RequestIdentity> running) {
		return running.stream().map((r) -> hex(r.parts().stream().map(PartFingerprint::part).toList())).toList();
	}

	private static List<String> hex(Collection<Long> fingerprints) {
		return fingerprints.stream().map(Long::toHexString).toList();
	}

}
