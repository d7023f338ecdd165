package io.shallotspur.pace;

/**
 * The load of one worker: this VM's own requests, and those of other VMs as the worker
 * last reported them. Not thread-safe; the present time is an argument.
 * <p>
 * A worker serves all VMs, and each VM sees only its own requests. A report comes with a
 * response, and its weight decays with its age.
 */
public final class ReportedLoad {

	// The half-life of a load report is half of the mean request duration, and at least
	// this, ms. With a fixed half-life, long responses would be forgotten while they run,
	// and workers that have many of them would be given more.
	private static final double MIN_HALF_LIFE_MS = 300;

	private static final double HALF_LIFE_FRACTION = 0.5;

	// Weight of the newest request in the mean request duration.
	private static final double DURATION_WEIGHT = 0.1;

	// Weight of the newest report in the mean load from other VMs.
	private static final double MEAN_WEIGHT = 0.1;

	// Requests at a full worker as a multiple of its slots: a short queue of its own
	// keeps it busy until this VM hears that a slot is free.
	private static final double FULL = 1.5;

	private boolean reported;

	private double others;

	private double meanOthers;

	private long reportedAt;

	private double meanDurationMs;

	/**
	 * Records a report.
	 * @param requests the requests that run or wait at the worker
	 * @param own how many of them are this VM's
	 * @param now the present time in milliseconds
	 */
	public void recordReport(int requests, int own, long now) {
		this.others = Math.max(0, requests - own);
		this.meanOthers = this.reported ? this.meanOthers + MEAN_WEIGHT * (this.others - this.meanOthers) : this.others;
		this.reported = true;
		this.reportedAt = now;
	}

	/**
	 * Records the duration of a request at the worker.
	 * @param ms the duration in milliseconds
	 */
	public void recordDuration(long ms) {
		this.meanDurationMs = (this.meanDurationMs > 0)
				? this.meanDurationMs + DURATION_WEIGHT * (ms - this.meanDurationMs) : ms;
	}

	/**
	 * Estimates the requests at the worker; those of other VMs decay to 0 with the age of
	 * the report.
	 * @param own this VM's requests at the worker
	 * @param now the present time in milliseconds
	 * @return the number of requests
	 */
	public double estimate(int own, long now) {
		return this.reported ? own + this.others * freshness(now) : own;
	}

	/**
	 * Estimates the requests at the worker; those of other VMs decay to their mean with
	 * the age of the report. Otherwise a worker from which nothing was heard for a while
	 * would look idle to all VMs at once.
	 * @param own this VM's requests at the worker
	 * @param now the present time in milliseconds
	 * @return the number of requests
	 */
	double expected(int own, long now) {
		return own + this.meanOthers + freshness(now) * (this.others - this.meanOthers);
	}

	/**
	 * Tells whether a worker probably has as many requests as it can keep busy with.
	 * @param own this VM's requests at the worker
	 * @param slots requests that it runs concurrently at most
	 * @param now the present time in milliseconds
	 * @return {@code false} while there is room in its slots or a short queue
	 */
	public boolean isFull(int own, int slots, long now) {
		return expected(own, now) >= FULL * slots;
	}

	// Standard deviation of the requests that other VMs may have added or ended since.
	double deviation(long now) {
		double f = freshness(now);
		return Math.sqrt(this.meanOthers * (1 - f * f));
	}

	private double freshness(long now) {
		return Math.pow(0.5, (now - this.reportedAt) / halfLifeMs());
	}

	private double halfLifeMs() {
		return Math.max(MIN_HALF_LIFE_MS, HALF_LIFE_FRACTION * this.meanDurationMs);
	}

}
