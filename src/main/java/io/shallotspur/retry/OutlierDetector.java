package io.shallotspur.retry;

import java.util.LinkedHashMap;
import java.util.Map;

import io.shallotspur.pace.OwnPace;
import io.shallotspur.pace.PaceComparison;

/**
 * Ejects failing or slow workers of one upstream and restores them after successful
 * probes.
 * <p>
 * A worker that rejects or loses its calls quickly appears idle and attracts more and
 * more of them, so callers see errors although the other workers are healthy. After
 * several consecutive failures a worker is ejected for a duration that doubles each time,
 * then probed with one call at a time until enough probes succeed. If most workers fail,
 * the cause lies elsewhere and ejections would overload the remaining workers. Therefore
 * the fraction of ejected workers is limited. Where workers differ in pace, each is
 * judged by its own, and only once it has been slow for longer than a neighbour on its
 * machine disturbs it.
 * <p>
 * Invariant: of {@code n} workers at most {@code max(1, floor(maxEjectedFraction * n))}
 * are ejected or being probed; a single worker is never ejected. Not thread-safe.
 */
public final class OutlierDetector {

	private static final double LATENCY_SMOOTHING_FACTOR = 0.1;

	private static final int MAX_DOUBLINGS = 20;

	private final OutlierDetectionSettings settings;

	private final Map<String, WorkerStats> workers = new LinkedHashMap<>();

	/**
	 * Creates a detector with the default settings.
	 */
	public OutlierDetector() {
		this(OutlierDetectionSettings.DEFAULT);
	}

	/**
	 * Creates a detector.
	 * @param settings the settings
	 */
	public OutlierDetector(OutlierDetectionSettings settings) {
		this.settings = settings;
	}

	/**
	 * Adds a worker, or resets the state of a worker that has restarted.
	 * @param worker the worker
	 */
	public void addWorker(String worker) {
		this.workers.put(worker, new WorkerStats());
	}

	/**
	 * Removes a worker.
	 * @param worker the worker
	 */
	public void removeWorker(String worker) {
		this.workers.remove(worker);
	}

	/**
	 * Returns whether a worker may receive calls.
	 * @param worker the worker
	 * @param now the current time in milliseconds
	 * @return its health; {@link WorkerHealth#HEALTHY} for an unknown worker
	 */
	public WorkerHealth health(String worker, long now) {
		WorkerStats stats = this.workers.get(worker);
		if (stats == null || !stats.ejected) {
			return WorkerHealth.HEALTHY;
		}
		return (now >= stats.nextProbeAt) ? WorkerHealth.PROBE : WorkerHealth.EJECTED;
	}

	/**
	 * Records the start of a call. A call to a worker that is due for a probe becomes the
	 * probe. No other call is allowed until it ends, or for the duration of an ejection
	 * if its end is never recorded.
	 * @param worker the worker
	 * @param now the current time in milliseconds
	 */
	public void recordStart(String worker, long now) {
		WorkerStats stats = this.workers.get(worker);
		if (stats != null && stats.ejected && now >= stats.nextProbeAt) {
			stats.nextProbeAt = now + ejectionMs(stats);
			stats.probing = true;
		}
	}

	/**
	 * Records a response.
	 * @param worker the worker
	 * @param latencyMs the latency of the call in milliseconds
	 * @param now the current time in milliseconds
	 */
	public void recordSuccess(String worker, double latencyMs, long now) {
		WorkerStats stats = this.workers.get(worker);
		if (stats == null) {
			return;
		}
		if (stats.ejected) {
			recordProbeResponse(stats, latencyMs, now);
			return;
		}
		stats.consecutiveFailures = 0;
		stats.observeLatency(latencyMs);
		if (stats.samples < this.settings.minSamples() || !isSlow(stats, stats.meanLatencyMs)) {
			stats.pace.recordUsual(latencyMs, now);
		}
		else if (!arePacesUneven() || stats.pace.isSlowForLong(medianOfOthers(stats), now)) {
			eject(stats, now);
		}
	}

	/**
	 * Records a failure caused by the worker: a rejected call, a lost connection or a
	 * timeout.
	 * @param worker the worker
	 * @param now the current time in milliseconds
	 */
	public void recordFailure(String worker, long now) {
		WorkerStats stats = this.workers.get(worker);
		if (stats == null) {
			return;
		}
		stats.consecutiveFailures++;
		stats.probeSuccesses = 0;
		if (stats.ejected && stats.probing) {
			stats.probing = false;
			stats.ejections++;
			stats.nextProbeAt = now + ejectionMs(stats);
		}
		else if (!stats.ejected && stats.consecutiveFailures >= this.settings.consecutiveFailures()) {
			eject(stats, now);
		}
	}

	/**
	 * Returns the number of workers that are ejected or being probed.
	 * @return the number of workers
	 */
	public int ejectedCount() {
		return (int) this.workers.values().stream().filter((stats) -> stats.ejected).count();
	}

	private void recordProbeResponse(WorkerStats stats, double latencyMs, long now) {
		// Calls sent before the ejection may still complete. If they counted as probes, a
		// slow worker would be restored immediately and its callers would have to wait.
		if (!stats.probing) {
			return;
		}
		stats.probing = false;
		if (isSlow(stats, latencyMs)) {
			stats.ejections++;
			stats.nextProbeAt = now + ejectionMs(stats);
			return;
		}
		stats.consecutiveFailures = 0;
		stats.probeSuccesses++;
		stats.nextProbeAt = now;
		if (stats.probeSuccesses >= this.settings.probeSuccesses()) {
			stats.ejected = false;
			stats.ejections = Math.max(0, stats.ejections - 1);
			stats.samples = 0;
		}
	}

	private void eject(WorkerStats stats, long now) {
		int workerCount = this.workers.size();
		int maxEjected = (workerCount < 2) ? 0 : Math.max(1, (int) (this.settings.maxEjectedFraction() * workerCount));
		if (ejectedCount() >= maxEjected) {
			return;
		}
		stats.ejected = true;
		stats.ejections++;
		stats.probeSuccesses = 0;
		stats.probing = false;
		stats.nextProbeAt = now + ejectionMs(stats);
	}

	private long ejectionMs(WorkerStats stats) {
		int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, stats.ejections - 1));
		return Math.min(this.settings.maxEjectionMs(), this.settings.baseEjectionMs() << doublings);
	}

	private boolean isSlow(WorkerStats stats, double latencyMs) {
		double median = (this.settings.latencyFactor() > 0) ? medianOfOthers(stats) : 0;
		if (median == 0) {
			return false;
		}
		double reference = arePacesUneven() ? stats.pace.referenceMs(median) : median;
		return latencyMs > this.settings.latencyFactor() * reference;
	}

	// 0 if there are no others.
	private double medianOfOthers(WorkerStats stats) {
		double[] otherLatencies = this.workers.values()
			.stream()
			.filter((other) -> other != stats && !other.ejected && other.samples >= this.settings.minSamples())
			.mapToDouble((other) -> other.meanLatencyMs)
			.sorted()
			.toArray();
		return (otherLatencies.length > 0) ? otherLatencies[otherLatencies.length / 2] : 0;
	}

	private boolean arePacesUneven() {
		return PaceComparison.of(this.workers.values().stream().map((stats) -> stats.pace.usual()).toList()).isUneven();
	}

	private static final class WorkerStats {

		private int consecutiveFailures;

		private int samples;

		private final OwnPace pace = new OwnPace();

		private double meanLatencyMs;

		private boolean ejected;

		private int ejections;

		private int probeSuccesses;

		private boolean probing;

		private long nextProbeAt;

		private void observeLatency(double latencyMs) {
			this.meanLatencyMs = (this.samples == 0) ? latencyMs
					: this.meanLatencyMs + LATENCY_SMOOTHING_FACTOR * (latencyMs - this.meanLatencyMs);
			this.samples++;
		}

	}

}
