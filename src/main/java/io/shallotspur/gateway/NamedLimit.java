package io.shallotspur.gateway;

/**
 * The limit that one worker names, and what this VM may still send there. Not
 * thread-safe; the present time is an argument.
 * <p>
 * Invariants: a limit ends only with an answer to a request that was sent after the limit
 * was last heard, since answers on different connections overtake each other; under a
 * limit, requests are sent at the rate of this VM's part, with no more saved up than
 * {@link #SAVED_MS} bring, or one request; a limit that is new begins with nothing saved.
 */
final class NamedLimit {

	// Requests do not come at even distances. What is saved lets the next two or three
	// go at once without passing the limit by more than a fraction, ms.
	private static final double SAVED_MS = 250;

	private static final double MS_PER_S = 1_000;

	private WorkerLimit limit = WorkerLimit.NONE;

	private long heardAt;

	private long since;

	private long sent;

	// Whether this VM's part has been known since the limit began.
	private boolean begun;

	private TokenBucket bucket = new TokenBucket(0, 0);

	// Requests that may be sent though they have not been yet: they wait for their time,
	// or for a place at the worker.
	private int reserved;

	// The last turn of this VM in which a request was sent; see LimitPart.
	private long turn = -1;

	/**
	 * Takes what an answer shows of the limit.
	 * @param next the limit
	 * @param sentAt when the request was sent, in milliseconds
	 * @param now the present time in milliseconds
	 * @return whether the limit has changed
	 */
	boolean told(WorkerLimit next, long sentAt, long now) {
		if (!next.named() && this.limit.named() && sentAt <= this.heardAt) {
			return false;
		}
		if (next.named()) {
			this.heardAt = now;
		}
		if (next.equals(this.limit)) {
			return false;
		}
		if (this.limit.named() && next.named()) {
			double part = next.perSecond() / Math.max(next.perSecond(), this.limit.perSecond());
			this.bucket.fill(part * this.bucket.perMs(), this.bucket.most(), now);
		}
		else {
			this.bucket = new TokenBucket(0, now);
			this.begun = false;
		}
		this.limit = next;
		this.since = now;
		this.sent = 0;
		return true;
	}

	WorkerLimit limit() {
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
		double most = Math.max(1, SAVED_MS * perMs);
		if (!this.begun) {
			this.begun = true;
			this.bucket.fill(perMs, most, this.since);
		}
		this.bucket.fill(perMs, most, now);
		double missing = requests - this.bucket.level();
		if (missing <= 0) {
			return 0;
		}
		return (perMs > 0) ? (long) Math.ceil(missing / perMs) : Long.MAX_VALUE;
	}

	void reserve() {
		this.reserved++;
	}

	void unreserve() {
		this.reserved--;
	}

	/**
	 * Takes that a request is sent. One that was placed before the limit was heard leaves
	 * a debt.
	 * @param inTurn the turn of this VM in which it is sent, or -1 if it has none
	 */
	void sent(long inTurn) {
		this.sent++;
		this.bucket.take(1);
		this.turn = inTurn;
	}

	boolean hasUsed(long inTurn) {
		return this.turn == inTurn;
	}

	/**
	 * Returns what this VM has sent since the limit changed.
	 * @param now the present time in milliseconds
	 * @return the limit, requests and time
	 */
	Sent sentSince(long now) {
		return new Sent(this.limit, this.sent, now - this.since);
	}

	/**
	 * What a VM has sent under a limit. Immutable.
	 *
	 * @param limit the limit
	 * @param requests how many requests
	 * @param ms in how many milliseconds
	 */
	record Sent(WorkerLimit limit, long requests, long ms) {

		@Override
		public String toString() {
			return "limit-per-s=" + this.limit + " sent=" + this.requests + " since-ms=" + this.ms;
		}

	}

}
