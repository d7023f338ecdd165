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
	private static final double LEAST_HALF_LIFE_MS = 300;

	private static final double HALF_LIFE_SHARE = 0.5;

	// Weight of the newest request in the time that requests last.
	private static final double LASTED_WEIGHT = 0.1;

	// Weight of the newest outcome in the failure rate: the last ten or so count.
	private static final double FAILURE_WEIGHT = 0.1;

	// A worker that took no connection is left alone for so long, ms: most crashed ones
	// are back or gone from the registry within a few seconds.
	private static final long UNREACHABLE_MS = 1_000;

	private WorkerInfo info;

	private int running;

	private int prefilling;

	private @Nullable LoadReport report;

	private int runningAtReport;

	private long reportedAt;

	private double lastedMs;

	private double failureRate;

	private long coldUntil;

	private long vanishAt = Long.MAX_VALUE;

	private long unreachableUntil;

	private final WorkerRateLimiter limit = new WorkerRateLimiter();

	private final Set<Runnable> onEnd = new LinkedHashSet<>();

	WorkerState(WorkerInfo info, long now) {
		this.info = info;
		this.coldUntil = now + info.coldMs();
	}

	WorkerInfo info() {
		return this.info;
	}

	void update(WorkerInfo next, long now) {
		this.info = next;
		this.coldUntil = now + next.coldMs();
		this.vanishAt = Long.MAX_VALUE;
	}

	void vanishesAt(long at) {
		this.vanishAt = Math.min(this.vanishAt, at);
	}

	void vanishesLater(long now, long at) {
		if (onGrace() && !vanished(now)) {
			this.vanishAt = Math.max(this.vanishAt, at);
		}
	}

	// Its entry is gone, and it is used for a while in case it comes back.
	boolean onGrace() {
		return this.vanishAt != Long.MAX_VALUE;
	}

	boolean vanished(long now) {
		return now >= this.vanishAt;
	}

	// Neither says that it leaves, nor has left.
	boolean stays(long now) {
		return !this.info.leaving() && !vanished(now);
	}

	/**
	 * Asks to be told when this life of the worker has ended. A connection to a worker
	 * that crashed behind a cut is silent, and its request would wait for its deadline.
	 * @param task run once, unless it is forgotten before
	 */
	void whenEnded(Runnable task) {
		this.onEnd.add(task);
	}

	void forget(Runnable task) {
		this.onEnd.remove(task);
	}

	void end() {
		List.copyOf(this.onEnd).forEach(Runnable::run);
	}

	void unreachable(long now) {
		this.unreachableUntil = now + UNREACHABLE_MS;
	}

	boolean reachable(long now) {
		return now >= this.unreachableUntil;
	}

	void started() {
		this.running++;
	}

	void ended() {
		this.running--;
	}

	// Requests, prefills and reservations of this VM that are under way; each has a
	// connection.
	int running() {
		return this.running;
	}

	// The start or end of a prefill that this VM has a decode worker do itself.
	void prefilling(int change) {
		this.prefilling += change;
	}

	int prefilling() {
		return this.prefilling;
	}

	boolean cold(long now) {
		return now < this.coldUntil;
	}

	void reported(LoadReport r, long now) {
		this.report = r;
		this.runningAtReport = this.running;
		this.reportedAt = now;
	}

	WorkerRateLimiter limit() {
		return this.limit;
	}

	/**
	 * Takes how long a request was at the worker.
	 * @param ms its time there, in milliseconds
	 */
	void lasted(long ms) {
		this.lastedMs = (this.lastedMs > 0) ? this.lastedMs + LASTED_WEIGHT * (ms - this.lastedMs) : ms;
	}

	private double halfLifeMs() {
		return Math.max(LEAST_HALF_LIFE_MS, HALF_LIFE_SHARE * this.lastedMs);
	}

	// How many requests are at the worker by estimate, those of other VMs included.
	double load(long now) {
		LoadReport r = this.report;
		if (r == null) {
			return this.running;
		}
		double others = Math.max(0, r.running() + r.waiting() - this.runningAtReport);
		return this.running + others * Math.pow(0.5, (now - this.reportedAt) / halfLifeMs());
	}

	double occupancy(long now) {
		return load(now) / Math.max(1, this.info.slots());
	}

	void outcome(boolean failed) {
		this.failureRate += FAILURE_WEIGHT * ((failed ? 1 : 0) - this.failureRate);
	}

	double failureRate() {
		return this.failureRate;
	}

}
