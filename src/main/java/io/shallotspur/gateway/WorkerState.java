package io.shallotspur.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * What this VM knows of one worker. Not thread-safe; confined to the gateway's thread.
 * <p>
 * A worker serves all VMs, and each VM sees only its own requests. What the others have
 * there is taken from the load that the worker reports beside its answers; a report loses
 * weight as it ages.
 */
final class WorkerState {

	// A report is good for half of the time that requests last here, and at least for so
	// long, ms. With a fixed time, long answers would be forgotten while they run, and
	// workers that have many would be given more.
	private static final double MIN_HALF_LIFE_MS = 300;

	private static final double HALF_LIFE_FRACTION = 0.5;

	// Weight of the newest request in the time that requests last.
	private static final double DURATION_WEIGHT = 0.1;

	// Weight of the newest outcome in the failure rate: the last ten or so count.
	private static final double FAILURE_WEIGHT = 0.1;

	// A worker that took no connection is left alone for so long, ms: most crashed ones
	// are back or gone from the registry within a few seconds.
	private static final long UNREACHABLE_BACKOFF_MS = 1_000;

	private WorkerInfo info;

	private int activeRequests;

	private int activePrefills;

	private @Nullable LoadReport loadReport;

	private int activeRequestsAtReport;

	private long loadReportedAt;

	private double meanDurationMs;

	private double failureRate;

	private long warmUpEnd;

	private long removalAt = Long.MAX_VALUE;

	private long unreachableUntil;

	private final WorkerRateLimiter limit = new WorkerRateLimiter();

	private final Set<Runnable> terminationListeners = new LinkedHashSet<>();

	WorkerState(WorkerInfo info, long now) {
		this.info = info;
		this.warmUpEnd = now + info.warmUpMs();
	}

	WorkerInfo info() {
		return this.info;
	}

	void update(WorkerInfo next, long now) {
		this.info = next;
		this.warmUpEnd = now + next.warmUpMs();
		this.removalAt = Long.MAX_VALUE;
	}

	void scheduleRemoval(long at) {
		this.removalAt = Math.min(this.removalAt, at);
	}

	void postponeRemoval(long now, long at) {
		if (inGracePeriod() && !isRemoved(now)) {
			this.removalAt = Math.max(this.removalAt, at);
		}
	}

	// Its entry is gone, and it is used for a while in case it comes back.
	boolean inGracePeriod() {
		return this.removalAt != Long.MAX_VALUE;
	}

	boolean isRemoved(long now) {
		return now >= this.removalAt;
	}

	// Neither says that it leaves, nor has left.
	boolean isActive(long now) {
		return !this.info.draining() && !isRemoved(now);
	}

	/**
	 * Asks to be told when this life of the worker has ended. A connection to a worker
	 * that crashed behind a cut is silent, and its request would wait for its deadline.
	 * @param task run once, unless it is forgotten before
	 */
	void addTerminationListener(Runnable task) {
		this.terminationListeners.add(task);
	}

	void removeTerminationListener(Runnable task) {
		this.terminationListeners.remove(task);
	}

	void terminate() {
		List.copyOf(this.terminationListeners).forEach(Runnable::run);
	}

	void markUnreachable(long now) {
		this.unreachableUntil = now + UNREACHABLE_BACKOFF_MS;
	}

	boolean isReachable(long now) {
		return now >= this.unreachableUntil;
	}

	void requestStarted() {
		this.activeRequests++;
	}

	void requestEnded() {
		this.activeRequests--;
	}

	// Requests, prefills and reservations of this VM that are under way; each has a
	// connection.
	int activeRequests() {
		return this.activeRequests;
	}

	// The start or end of a prefill that this VM has a decode worker do itself.
	void adjustActivePrefills(int change) {
		this.activePrefills += change;
	}

	int activePrefills() {
		return this.activePrefills;
	}

	boolean isWarmingUp(long now) {
		return now < this.warmUpEnd;
	}

	void recordLoad(LoadReport r, long now) {
		this.loadReport = r;
		this.activeRequestsAtReport = this.activeRequests;
		this.loadReportedAt = now;
	}

	WorkerRateLimiter limit() {
		return this.limit;
	}

	/**
	 * Takes how long a request was at the worker.
	 * @param ms its time there, in milliseconds
	 */
	void recordDuration(long ms) {
		this.meanDurationMs = (this.meanDurationMs > 0) ? this.meanDurationMs + DURATION_WEIGHT * (ms - this.meanDurationMs) : ms;
	}

	private double halfLifeMs() {
		return Math.max(MIN_HALF_LIFE_MS, HALF_LIFE_FRACTION * this.meanDurationMs);
	}

	// How many requests are at the worker by estimate, those of other VMs included.
	double estimatedLoad(long now) {
		LoadReport r = this.loadReport;
		if (r == null) {
			return this.activeRequests;
		}
		double others = Math.max(0, r.running() + r.waiting() - this.activeRequestsAtReport);
		return this.activeRequests + others * Math.pow(0.5, (now - this.loadReportedAt) / halfLifeMs());
	}

	double utilization(long now) {
		return estimatedLoad(now) / Math.max(1, this.info.slots());
	}

	void recordOutcome(boolean failed) {
		this.failureRate += FAILURE_WEIGHT * ((failed ? 1 : 0) - this.failureRate);
	}

	double failureRate() {
		return this.failureRate;
	}

}
