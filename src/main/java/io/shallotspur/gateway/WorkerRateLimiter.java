package io.shallotspur.gateway;

import io.shallotspur.quota.TokenBucket;

/**
 * Enforces this VM's share of the rate limit that one worker reports. Not thread-safe;
 * the present time is an argument.
 * <p>
 * Invariants: a limit is lifted only by the response to a request that was sent after the
 * limit was last reported, since responses on different connections may arrive out of
 * order; under a limit, requests are sent at the rate of this VM's share, with a burst of
 * at most {@link #BURST_MS} of that rate or one request; a new limit starts with an empty
 * bucket.
 */
final class WorkerRateLimiter {

	// Requests arrive unevenly. This burst lets two or three be sent at once
	// without exceeding the limit by more than a fraction, ms.
	private static final double BURST_MS = 250;

	private static final double MS_PER_S = 1_000;

	private WorkerRateLimit limit = WorkerRateLimit.UNLIMITED;

	private long lastReportedAt;

	private long changedAt;

	private long sentCount;

	// Whether this VM's share was determined since the limit began.
	private boolean shareKnown;

	private TokenBucket bucket = new TokenBucket(0, 0);

	// Requests that were admitted but not sent yet: they wait for their send time or for
	// a slot at the worker.
	private int reserved;

	// The last probe window of this VM in which a request was sent; see RateLimitShare.
	private long lastProbeWindow = -1;

	/**
	 * Updates the limit from a response.
	 * @param newLimit the limit that the response reports
	 * @param requestSentAt when the request was sent, in milliseconds
	 * @param now the present time in milliseconds
	 * @return whether the limit has changed
	 */
	boolean update(WorkerRateLimit newLimit, long requestSentAt, long now) {
		if (!newLimit.isLimited() && this.limit.isLimited() && requestSentAt <= this.lastReportedAt) {
			return false;
		}
		if (newLimit.isLimited()) {
			this.lastReportedAt = now;
		}
		if (newLimit.equals(this.limit)) {
			return false;
		}
		if (this.limit.isLimited() && newLimit.isLimited()) {
			double scale = newLimit.perSecond() / Math.max(newLimit.perSecond(), this.limit.perSecond());
			this.bucket.refill(scale * this.bucket.perMs(), this.bucket.capacity(), now);
		}
		else {
			this.bucket = new TokenBucket(0, now);
			this.shareKnown = false;
		}
		this.limit = newLimit;
		this.changedAt = now;
		this.sentCount = 0;
		return true;
	}

	WorkerRateLimit limit() {
		return this.limit;
	}

	/**
	 * Returns how long a request that arrives now has to wait.
	 * @param perSecond this VM's share of the limit, in requests per second
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it may be sent now, {@link Long#MAX_VALUE} if never
	 */
	long waitMs(double perSecond, long now) {
		return waitMs(perSecond, 1 + this.reserved, now);
	}

	/**
	 * Returns the remaining wait of the request that holds the next reservation. It
	 * exceeds the original wait if the limit was lowered meanwhile.
	 * @param perSecond this VM's share of the limit, in requests per second
	 * @param now the present time in milliseconds
	 * @return as for {@link #waitMs(double, long)}
	 */
	long reservedWaitMs(double perSecond, long now) {
		return waitMs(perSecond, 1, now);
	}

	private long waitMs(double perSecond, int requests, long now) {
		double perMs = perSecond / MS_PER_S;
		double capacity = Math.max(1, BURST_MS * perMs);
		if (!this.shareKnown) {
			this.shareKnown = true;
			this.bucket.refill(perMs, capacity, this.changedAt);
		}
		this.bucket.refill(perMs, capacity, now);
		double missing = requests - this.bucket.level();
		if (missing <= 0) {
			return 0;
		}
		return (perMs > 0) ? (long) Math.ceil(missing / perMs) : Long.MAX_VALUE;
	}

	void reserve() {
		this.reserved++;
	}

	void releaseReservation() {
		this.reserved--;
	}

	/**
	 * Records that a request is sent. A request that was assigned before the limit was
	 * reported may leave a negative token balance.
	 * @param probeWindow the probe window of this VM in which it is sent, or -1 outside
	 * of one
	 */
	void recordSent(long probeWindow) {
		this.sentCount++;
		this.bucket.consume(1);
		this.lastProbeWindow = probeWindow;
	}

	boolean hasProbedIn(long probeWindow) {
		return this.lastProbeWindow == probeWindow;
	}

	/**
	 * Returns what this VM has sent since the limit changed.
	 * @param now the present time in milliseconds
	 * @return the limit, the number of requests and the elapsed time
	 */
	SendCount sentSinceChange(long now) {
		return new SendCount(this.limit, this.sentCount, now - this.changedAt);
	}

	/**
	 * The number of requests that this VM has sent under a limit. Immutable.
	 *
	 * @param limit the limit
	 * @param requests the number of requests
	 * @param elapsedMs the time in which they were sent, in milliseconds
	 */
	record SendCount(WorkerRateLimit limit, long requests, long elapsedMs) {

		@Override
		public String toString() {
			return "limit-per-s=" + this.limit + " sent=" + this.requests + " since-ms=" + this.elapsedMs;
		}

	}

}
