package io.shallotspur.gateway;

/**
 * The limit that one worker names, as this VM knows it. Not thread-safe; the present time
 * is an argument.
 * <p>
 * Invariant: a limit ends only with an answer to a request that was sent after the limit
 * was last heard: answers on different connections overtake each other.
 */
final class NamedLimit {

	private WorkerLimit limit = WorkerLimit.NONE;

	private long heardAt;

	private long since;

	private long sent;

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
		this.limit = next;
		this.since = now;
		this.sent = 0;
		return true;
	}

	WorkerLimit limit() {
		return this.limit;
	}

	void sent() {
		this.sent++;
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
