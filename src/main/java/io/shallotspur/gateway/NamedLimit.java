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

	private double perMs;

	private double level;

	private long levelAt;

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
			fill(now);
			this.perMs *= next.perSecond() / Math.max(next.perSecond(), this.limit.perSecond());
		}
		else {
			this.level = 0;
			this.levelAt = now;
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
		fill(perSecond, now);
		double missing = requests - this.level;
		if (missing <= 0) {
			return 0;
		}
		return (this.perMs > 0) ? (long) Math.ceil(missing / this.perMs) : Long.MAX_VALUE;
	}

	// Another part holds from now on, and for what is saved at once.
	private void fill(double perSecond, long now) {
		if (!this.begun) {
			this.begun = true;
			this.perMs = perSecond / MS_PER_S;
		}
		fill(now);
		this.perMs = perSecond / MS_PER_S;
		this.level = Math.min(Math.max(1, SAVED_MS * this.perMs), this.level);
	}

	private void fill(long now) {
		double most = Math.max(1, SAVED_MS * this.perMs);
		this.level = Math.min(most, this.level + this.perMs * (now - this.levelAt));
		this.levelAt = now;
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
		this.level--;
		this.turn = inTurn;
	}

	boolean hasUsed(long inTurn) {
		return this.turn == inTurn;
	}

	/**
	 * Describes for the log what this VM has sent since the limit changed.
	 * @param now the present time in milliseconds
	 * @return fields and values
	 */
	String describe(long now) {
		return "limit-per-s=" + (this.limit.named() ? this.limit.perSecond() : "none") + " sent=" + this.sent
				+ " since-ms=" + (now - this.since);
	}

}
