package io.shallotspur.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;

import io.shallotspur.pace.FinishTime;
import io.shallotspur.pace.PaceComparison;
import io.shallotspur.pace.ReportedLoad;
import io.shallotspur.pace.WorkerPace;

/**
 * The state of one worker as known to this VM. Not thread-safe; confined to the gateway's
 * thread.
 * <p>
 * A worker that changes its stage does other work, and its pace is learned anew.
 */
final class WorkerState {

	// Weight of the newest outcome in the failure rate: about the last ten count.
	private static final double FAILURE_WEIGHT = 0.1;

	// A worker to which a request could not be sent, or at which a reservation call or a
	// prefill failed, is skipped for this time, ms: most crashed workers have restarted
	// or left the registry within a few seconds.
	private static final long UNREACHABLE_BACKOFF_MS = 1_000;

	private WorkerInfo info;

	private int activeRequests;

	private int pausedRequests;

	private int activePrefills;

	private @Nullable LoadReport loadReport;

	private final ReportedLoad load = new ReportedLoad();

	private WorkerPace pace = new WorkerPace();

	private double failureRate;

	private long warmUpEnd;

	private long removalAt = Long.MAX_VALUE;

	private long unreachableUntil;

	private boolean leaving;

	private long pauseEnd;

	private final WorkerRateLimiter limit = new WorkerRateLimiter();

	private final WorkerPath path = new WorkerPath();

	private final Set<LongConsumer> pathLossListeners = new LinkedHashSet<>();

	private final CrashEvidence crashEvidence = new CrashEvidence();

	private final Set<Runnable> terminationListeners = new LinkedHashSet<>();

	private final Set<Runnable> noticeListeners = new LinkedHashSet<>();

	WorkerState(WorkerInfo info, long now) {
		this.info = info;
		this.warmUpEnd = now + info.warmUpMs();
	}

	WorkerInfo info() {
		return this.info;
	}

	void update(WorkerInfo next, long now) {
		if (next.stage() != this.info.stage()) {
			this.pace = new WorkerPace();
		}
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

	// The entry is gone, but the worker stays in use for a while in case the entry comes
	// back.
	boolean inGracePeriod() {
		return this.removalAt != Long.MAX_VALUE;
	}

	boolean isRemoved(long now) {
		return now >= this.removalAt;
	}

	// Neither leaving nor removed.
	boolean isActive(long now) {
		return !this.info.draining() && !this.leaving && !isRemoved(now);
	}

	/**
	 * Records that the worker itself has stated that it is leaving. An entry of the
	 * registry that shows it as ready is older: an instance that leaves never returns.
	 * @return whether this is news
	 */
	boolean markLeaving() {
		boolean news = !this.leaving;
		this.leaving = true;
		return news;
	}

	boolean hasStatedLeaving() {
		return this.leaving;
	}

	/**
	 * Records that the worker has asked this VM for a pause. A shorter pause that it asks
	 * for later does not end a longer one.
	 * @param end the end of the pause, in milliseconds
	 * @param now the present time in milliseconds
	 * @return whether a pause begins
	 */
	boolean pauseUntil(long end, long now) {
		boolean begins = pauseRemainingMs(now) == 0;
		this.pauseEnd = Math.max(this.pauseEnd, end);
		return begins;
	}

	long pauseRemainingMs(long now) {
		return Math.max(0, this.pauseEnd - now);
	}

	/**
	 * Adds a task to run when this instance of the worker has terminated. A connection to
	 * a worker that crashed behind a network partition stays silent, and its request
	 * would otherwise wait for its deadline.
	 * @param task run once, unless it is removed before
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

	/**
	 * Adds a task to run after the worker has stated that it is leaving or asked for a
	 * pause.
	 * @param task run each time, until it is removed
	 */
	void addNoticeListener(Runnable task) {
		this.noticeListeners.add(task);
	}

	void removeNoticeListener(Runnable task) {
		this.noticeListeners.remove(task);
	}

	void notifyOfNotice() {
		List.copyOf(this.noticeListeners).forEach(Runnable::run);
	}

	WorkerPath path() {
		return this.path;
	}

	/**
	 * Adds a listener for the loss of the direct path to the worker, on which its
	 * response would come.
	 * @param listener called with a time; an attempt that has received nothing since then
	 * must not wait any longer
	 */
	void addPathLossListener(LongConsumer listener) {
		this.pathLossListeners.add(listener);
	}

	void removePathLossListener(LongConsumer listener) {
		this.pathLossListeners.remove(listener);
	}

	void interruptSilentAttempts(long silentSince) {
		List.copyOf(this.pathLossListeners).forEach((l) -> l.accept(silentSince));
	}

	// The failures of this VM's calls were not the worker's.
	void forgetFailures() {
		this.unreachableUntil = 0;
		this.failureRate = 0;
	}

	void markUnreachable(long now) {
		this.unreachableUntil = now + UNREACHABLE_BACKOFF_MS;
	}

	boolean isReachable(long now) {
		return now >= this.unreachableUntil && !this.path.isUnreachable();
	}

	void requestStarted() {
		this.activeRequests++;
	}

	void requestEnded() {
		this.activeRequests--;
	}

	// Requests, prefills and reservation calls of this VM in progress; each uses a
	// connection.
	int activeRequests() {
		return this.activeRequests;
	}

	// Adjusts the number of requests of this VM whose responses are not read because
	// their
	// callers do not read them. The worker has done their work.
	void adjustPausedRequests(int change) {
		this.pausedRequests += change;
	}

	// Adjusts the number of prefills of this VM that run at the decode worker itself, at
	// their start and end.
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
		this.load.recordReport(r.running() + r.waiting(), this.activeRequests, now);
		r.slowdown().ifPresent((factor) -> this.pace.recordStated(factor, now));
	}

	CrashEvidence crashEvidence() {
		return this.crashEvidence;
	}

	WorkerRateLimiter limit() {
		return this.limit;
	}

	/**
	 * Records the duration of a request at the worker.
	 * @param ms the duration in milliseconds
	 */
	void recordDuration(long ms) {
		this.load.recordDuration(ms);
	}

	/**
	 * Records an answer. To be called after {@link #recordLoad} with the load that the
	 * worker reported with it.
	 * @param ms its duration for one unit of work, in milliseconds
	 * @param now the present time in milliseconds
	 */
	void recordAnswer(double ms, long now) {
		LoadReport r = this.loadReport;
		int running = (r != null) ? r.running() : this.activeRequests - 1;
		this.pace.recordAnswer(ms, running, (r != null) ? r.waiting() : 0, this.info.slots(), now);
	}

	// A worker runs prefills one after the other, so the time covers those that were
	// there before this one.
	void recordPrefill(long ms, int promptTokens, double loadAtStart, long now) {
		this.pace.recordAnswer(ms / (1 + loadAtStart) / Math.max(1, promptTokens), 0, 0, this.info.slots(), now);
	}

	WorkerPace pace() {
		return this.pace;
	}

	// Expected time until one more request is answered, in mean service times.
	double finishTime(PaceComparison all, long now) {
		return FinishTime.of(this.pace, all, this.load, this.activeRequests, this.info.slots(), now);
	}

	boolean isBelievedFull(long now) {
		return this.load.isFull(this.activeRequests - this.pausedRequests, this.info.slots(), now);
	}

	// Estimates the number of requests at the worker, including those of other VMs.
	double estimatedLoad(long now) {
		return this.load.estimate(this.activeRequests, now);
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
