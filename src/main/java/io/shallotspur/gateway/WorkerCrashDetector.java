package io.shallotspur.gateway;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;

import org.tinylog.Logger;

/**
 * Finds out whether a worker has crashed when requests that were running on it break off.
 * Connections also break when they are reset, or when a worker spoils a response; then
 * the worker still accepts connections. A worker whose address does not respond at all is
 * not taken to have crashed: it may have lost power or the network. Not thread-safe;
 * confined to the gateway's thread.
 * <p>
 * Invariant: each instance of a worker is reported at most once, and never if its end was
 * announced.
 */
final class WorkerCrashDetector {

	// All connections to a crashed worker break within a few ms; a late event loop
	// notices some of them later than others, ms.
	private static final long GATHER_MS = 100;

	// Bounds the checks of a worker that breaks off responses but has not crashed, ms.
	private static final long MIN_CHECK_INTERVAL_MS = 1_000;

	private final Gateway gateway;

	// Entries end with the state of their worker.
	private final Map<WorkerState, Interruption> interruptions = new WeakHashMap<>();

	WorkerCrashDetector(Gateway gateway) {
		this.gateway = gateway;
	}

	/**
	 * Records that a request broke off while it may have been running.
	 * @param w the worker
	 * @param fingerprint the request
	 * @param progressed whether it had made progress there
	 * @param now the present time in milliseconds
	 */
	void onInterrupted(WorkerState w, LazyFingerprint fingerprint, boolean progressed, long now) {
		if (!w.isActive(now)) {
			return;
		}
		Interruption i = this.interruptions.computeIfAbsent(w, (x) -> new Interruption());
		if (i.crashed) {
			return;
		}
		i.running.add(fingerprint.value());
		if (progressed) {
			i.progressed.add(fingerprint.value());
		}
		if (!i.checking) {
			i.checking = true;
			long delayMs = Math.max(now + GATHER_MS, i.nextCheckAt) - now;
			this.gateway.timer.schedule(delayMs, () -> check(w, i));
		}
	}

	private void check(WorkerState w, Interruption i) {
		this.gateway.metrics.crashChecked();
		this.gateway.workerPort.checkListening(w.info(), (seen) -> onChecked(w, i, seen));
	}

	private void onChecked(WorkerState w, Interruption i, ListenState seen) {
		long now = this.gateway.clock.getAsLong();
		Logger.info("[quarantine] worker checked worker={} seen={} running={}", w.info().id(), seen.code(),
				i.running.size());
		i.checking = false;
		i.nextCheckAt = now + MIN_CHECK_INTERVAL_MS;
		if (seen == ListenState.REFUSES) {
			i.crashed = true;
			w.markUnreachable(now);
			this.gateway.quarantine.recordCrash(w.info(), i.running, i.progressed, now);
		}
		i.running.clear();
		i.progressed.clear();
	}

	/**
	 * The requests that broke off at one instance of a worker and are not attributed yet.
	 */
	private static final class Interruption {

		private final Set<Long> running = new LinkedHashSet<>();

		private final Set<Long> progressed = new HashSet<>();

		private long nextCheckAt = Long.MIN_VALUE;

		private boolean checking;

		private boolean crashed;

	}

}
