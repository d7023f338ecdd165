package io.shallotspur.retry;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Leaves out the workers of one upstream that fail or lag, and probes them back in.
 * <p>
 * A worker that refuses or loses its calls quickly looks idle and draws ever more of
 * them; its callers see errors although its fellows are well. After some failures in a
 * row it is ejected for a time that doubles, then given one call at a time until it
 * answers. If most of the workers fail, the cause is elsewhere and ejecting them would
 * leave the rest to drown, so the share ejected is capped.
 * <p>
 * Invariant: of {@code n} workers at most {@code max(1, floor(maxShare * n))} are ejected
 * or probed, and none of a single one. Not thread-safe.
 */
public final class OutlierDetector {

	private static final double LATENCY_WEIGHT = 0.1;

	private static final int MAX_DOUBLINGS = 20;

	private final OutlierDetectionSettings limits;

	private final Map<String, Stats> workers = new LinkedHashMap<>();

	/**
	 * Creates a detector with the default limits.
	 */
	public OutlierDetector() {
		this(OutlierDetectionSettings.DEFAULT);
	}

	/**
	 * Creates a detector.
	 * @param limits when a worker is left out
	 */
	public OutlierDetector(OutlierDetectionSettings limits) {
		this.limits = limits;
	}

	/**
	 * Adds a worker, or starts afresh with one that came back.
	 * @param worker the worker
	 */
	public void addWorker(String worker) {
		this.workers.put(worker, new Stats());
	}

	/**
	 * Forgets a worker.
	 * @param worker the worker
	 */
	public void removeWorker(String worker) {
		this.workers.remove(worker);
	}

	/**
	 * Tells whether a worker is to be given calls.
	 * @param worker the worker
	 * @param now the present time in milliseconds
	 * @return its health; {@link WorkerHealth#HEALTHY} for one that was never added
	 */
	public WorkerHealth health(String worker, long now) {
		Stats s = this.workers.get(worker);
		if (s == null || !s.ejected) {
			return WorkerHealth.HEALTHY;
		}
		return (now >= s.retryAt) ? WorkerHealth.PROBE : WorkerHealth.EJECTED;
	}

	/**
	 * Takes the start of a call. A call to a worker that is to be probed is the probe: no
	 * other is wanted until it ends, or for as long as an ejection if its end is never
	 * told.
	 * @param worker the worker
	 * @param now the present time in milliseconds
	 */
	public void recordStart(String worker, long now) {
		Stats s = this.workers.get(worker);
		if (s != null && s.ejected && now >= s.retryAt) {
			s.retryAt = now + ejectMs(s);
			s.probing = true;
		}
	}

	/**
	 * Takes an answer.
	 * @param worker the worker
	 * @param latencyMs how long it took, in milliseconds
	 * @param now the present time in milliseconds
	 */
	public void recordSuccess(String worker, double latencyMs, long now) {
		Stats s = this.workers.get(worker);
		if (s == null) {
			return;
		}
		if (s.ejected) {
			probeAnswered(s, latencyMs, now);
			return;
		}
		s.failures = 0;
		s.observe(latencyMs);
		if (s.samples >= this.limits.minSamples() && isSlow(s, s.latency)) {
			eject(s, now);
		}
	}

	/**
	 * Takes a failure that is the worker's own: a refusal of the call, a lost connection
	 * or a timeout.
	 * @param worker the worker
	 * @param now the present time in milliseconds
	 */
	public void recordFailure(String worker, long now) {
		Stats s = this.workers.get(worker);
		if (s == null) {
			return;
		}
		s.failures++;
		s.probes = 0;
		if (s.ejected && s.probing) {
			s.probing = false;
			s.ejections++;
			s.retryAt = now + ejectMs(s);
		}
		else if (!s.ejected && s.failures >= this.limits.consecutiveFailures()) {
			eject(s, now);
		}
	}

	/**
	 * Counts the workers that are left out or probed.
	 * @return the number of workers
	 */
	public int ejectedCount() {
		return (int) this.workers.values().stream().filter((s) -> s.ejected).count();
	}

	private void probeAnswered(Stats s, double latencyMs, long now) {
		// Calls sent before the ejection still come to an end. Were their answers taken
		// for probes, a slow worker would be back at once and its callers would wait.
		if (!s.probing) {
			return;
		}
		s.probing = false;
		if (isSlow(s, latencyMs)) {
			s.ejections++;
			s.retryAt = now + ejectMs(s);
			return;
		}
		s.failures = 0;
		s.probes++;
		s.retryAt = now;
		if (s.probes >= this.limits.probeSuccesses()) {
			s.ejected = false;
			s.ejections = Math.max(0, s.ejections - 1);
			s.samples = 0;
		}
	}

	private void eject(Stats s, long now) {
		int n = this.workers.size();
		int most = (n < 2) ? 0 : Math.max(1, (int) (this.limits.maxShare() * n));
		if (ejectedCount() >= most) {
			return;
		}
		s.ejected = true;
		s.ejections++;
		s.probes = 0;
		s.probing = false;
		s.retryAt = now + ejectMs(s);
	}

	private long ejectMs(Stats s) {
		int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, s.ejections - 1));
		return Math.min(this.limits.maxEjectMs(), this.limits.baseEjectMs() << doublings);
	}

	private boolean isSlow(Stats s, double latencyMs) {
		if (this.limits.latencyFactor() <= 0) {
			return false;
		}
		double[] others = this.workers.values()
			.stream()
			.filter((o) -> o != s && !o.ejected && o.samples >= this.limits.minSamples())
			.mapToDouble((o) -> o.latency)
			.toArray();
		if (others.length == 0) {
			return false;
		}
		Arrays.sort(others);
		return latencyMs > this.limits.latencyFactor() * others[others.length / 2];
	}

	private static final class Stats {

		private int failures;

		private int samples;

		private double latency;

		private boolean ejected;

		private int ejections;

		private int probes;

		private boolean probing;

		private long retryAt;

		private void observe(double latencyMs) {
			this.latency = (this.samples == 0) ? latencyMs : this.latency + LATENCY_WEIGHT * (latencyMs - this.latency);
			this.samples++;
		}

	}

}
