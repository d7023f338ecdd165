package io.shallotspur.gateway;

/**
 * The limit that one worker names, and what this VM may still send there. Not
 * thread-safe; the present time is an argument.
 * <p>
 * Invariants: a limit ends only with an answer to a request that was sent after the limit
 * was last heard, since answers on different connections overtake each other; under a
 * limit, requests are sent at the rate of this VM's part, with no more saved up than
 * {@link #BURST_MS} bring, or one request; a limit that is new begins with nothing saved.
 */
final class WorkerRateLimiter {

	// Requests do not come at even distances. What is saved lets the next two or three
	// go at once without passing the limit by more than a fraction, ms.
	private static final double BURST_MS = 250;

	private static final double MS_PER_S = 1_000;

	private WorkerRateLimit limit = WorkerRateLimit.UNLIMITED;

	private long lastReportedAt;

	private long changedAt;

	private long sentCount;

	// Whether this VM's part has been known since the limit began.
	private boolean shareKnown;

	private TokenBucket bucket = new TokenBucket(0, 0);

	// Requests that may be sent though they have not been yet: they wait for their time,
	// or for a place at the worker.
	private int reserved;

	// The last turn of this VM in which a request was sent; see LimitPart.
	private long lastProbeWindow = -1;

	/**
	 * Takes what an answer shows of the limit.
	 * @param newLimit the limit
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
	 * Returns how long a request that comes now has to wait.
	 * @param perSecond this VM's part of the limit, in requests a second
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it may be sent, {@link Long#MAX_VALUE} if never
	 */
	long waitMs(double perSecond, long now) {
		return waitMs(perSecond, 1 + this.reserved, now);
	}

	/**
	 * Returns how long a request has to wait that has reserved the next one: longer than
	 * it was told if the limit has fallen since.
	 * @param perSecond this VM's part of the limit, in requests a second
	 * @param now the present time in milliseconds
	 * @return as {@link #waitMs(double, long)}
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
	 * Takes that a request is sent. One that was placed before the limit was heard leaves
	 * a debt.
	 * @param probeWindow the turn of this VM in which it is sent, or -1 if it has none
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
	 * @return the limit, requests and time
	 */
	SendCount sentSinceChange(long now) {
		return new SendCount(this.limit, this.sentCount, now - this.changedAt);
	}

	/**
	 * What a VM has sent under a limit. Immutable.
	 *
	 * @param limit the limit
	 * @param requests how many requests
	 * @param elapsedMs in how many milliseconds
	 */
	record SendCount(WorkerRateLimit limit, long requests, long elapsedMs) {

		@Override
		public String toString() {
			return "limit-per-s=" + this.limit + " sent=" + this.requests + " since-ms=" + this.elapsedMs;
		}

	}

}
