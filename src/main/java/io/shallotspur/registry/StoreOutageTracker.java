package io.shallotspur.registry;

/**
 * Tracks when the store last answered and last failed, and derives until when a missing
 * entry can be explained by an outage. Not thread-safe; confined to the gateway's thread.
 * <p>
 * During an outage the entries of living workers and entry VMs may expire. If they were
 * taken as removed, every VM would be without workers until they have written again.
 * <p>
 * Invariant: a grace period is counted from when the store was unavailable, and not from
 * when this VM learns of a removal. Updates can be old, and a worker that has left would
 * otherwise be used too long by their age.
 */
final class StoreOutageTracker {

	/** A time further in the past than any period used here, in milliseconds. */
	static final long NEVER = Long.MIN_VALUE / 2;

	/**
	 * Entries that expired during an outage are written again within two seconds of its
	 * end, in milliseconds.
	 */
	static final long REWRITE_MS = 2_000;

	// Approximate interval at which a serving VM polls an unavailable store, ms; the
	// store's recovery can go unnoticed for about this long.
	private static final long UNNOTICED_RECOVERY_MS = 700;

	// A VM learns within this time that its registration has expired, ms: its next
	// renewal fails.
	private static final long UNNOTICED_EXPIRY_MS = 3_000;

	// Timeout of the beginning of a response, except to a waiting watch, ms.
	private static final long CALL_MS = 1_000;

	// Requests to a leaving worker stop this long before the deadline, ms, because
	// requests sent before it may still be in transit.
	private static final long DRAIN_MARGIN_MS = 300;

	// An entry expires after three heartbeat intervals without a renewal, and its owner
	// may have been about to renew it when the store failed.
	private static final int MIN_LAPSE_HEARTBEATS = 2;

	private final long drainMs;

	private final long minLapseMs;

	private long noticedAt = NEVER;

	// The latest time at which the store is known to have been unavailable: the send time
	// of a failed call, as the store may have recovered before the failure was noticed.
	private long unavailableAt = NEVER;

	// The send time of the call whose response gave the state that is known here.
	private long knownAt = NEVER;

	// The send time of the last answered call of any kind.
	private long reachedAt = NEVER;

	// The latest time of an outage in which entries may have expired.
	private long longOutageAt = NEVER;

	private long lapseGraceEndsAt = NEVER;

	/**
	 * Creates a tracker without a failure.
	 * @param workerDrainMs how long requests may still be sent to a worker after it
	 * started to leave, in milliseconds
	 * @param workerHeartbeatMs the interval at which workers renew their entries, in
	 * milliseconds
	 */
	StoreOutageTracker(long workerDrainMs, long workerHeartbeatMs) {
		this.drainMs = Math.max(0, workerDrainMs - DRAIN_MARGIN_MS);
		this.minLapseMs = MIN_LAPSE_HEARTBEATS * workerHeartbeatMs;
	}

	/**
	 * Records a response that shows the state of the store.
	 * @param sentAt when the call was sent, in milliseconds
	 */
	void recordAnswer(long sentAt) {
		this.knownAt = sentAt;
		recordReached(sentAt);
	}

	/**
	 * Records a response that shows only that the store was reached. If a failed call
	 * lies between two of these, nothing expired unless they are far apart.
	 * @param sentAt when the call was sent, in milliseconds
	 */
	void recordReached(long sentAt) {
		if (!reachedShortlyBefore(this.unavailableAt) || mayHaveBeenLong(sentAt)) {
			this.longOutageAt = this.unavailableAt;
		}
		this.reachedAt = Math.max(this.reachedAt, sentAt);
	}

	/**
	 * Records a failed call.
	 * @param sentAt when it was sent, or {@link #NEVER} if unknown, in milliseconds
	 * @param now the current time in milliseconds
	 */
	void recordFailure(long sentAt, long now) {
		this.noticedAt = now;
		this.unavailableAt = Math.max(this.unavailableAt, Math.max(sentAt, now - CALL_MS));
		extendLapseGrace();
	}

	/**
	 * Records a call that had no answer by the time at which it was due. Perhaps only its
	 * answer was lost: other calls show whether the store was unavailable after it was
	 * sent.
	 * @param sentAt when it was sent, in milliseconds
	 * @param now the current time in milliseconds
	 */
	void recordOverdue(long sentAt, long now) {
		this.noticedAt = now;
		this.unavailableAt = Math.max(this.unavailableAt, sentAt);
		extendLapseGrace();
	}

	/**
	 * Records a restore of the store from an older snapshot. If calls failed before, the
	 * store recovered after them, and its writers have begun to write again since then. A
	 * late response must not extend their grace period.
	 * @param unavailable whether the last call to the store had failed
	 * @param now the current time in milliseconds
	 */
	void recordRestore(boolean unavailable, long now) {
		this.noticedAt = now;
		this.unavailableAt = unavailable ? this.unavailableAt : now - UNNOTICED_RECOVERY_MS;
		this.knownAt = NEVER;
		this.reachedAt = NEVER;
		extendLapseGrace();
	}

	// If the store fails again before the owners of expired entries could rewrite them,
	// their grace period starts again. Otherwise living workers would be dropped during
	// the outage.
	private void extendLapseGrace() {
		if (!outageWasBrief() || this.unavailableAt < this.lapseGraceEndsAt) {
			this.lapseGraceEndsAt = rewriteEndsAt();
		}
	}

	/**
	 * Returns until when an entry that is known to have expired may be written again.
	 * @return the time in milliseconds; in the past if it may not
	 */
	long lapseGraceEndsAt() {
		return this.lapseGraceEndsAt;
	}

	/**
	 * Returns until when a worker is still used whose entry is newly missing. No entry
	 * expires during a brief outage, nor while other calls are answered: the worker has
	 * left, at the earliest at the time of the last known state.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds; in the past if it must not be used
	 */
	long workerGraceEndsAt(long now) {
		boolean brief = outageWasBrief() && !mayHaveBeenLong(now);
		return brief ? Math.min(this.knownAt + this.drainMs, rewriteEndsAt()) : rewriteEndsAt();
	}

	/**
	 * Returns until when an entry VM whose registration is missing is still returned to
	 * callers.
	 * @return the time in milliseconds; in the past if it must not be
	 */
	long vmGraceEndsAt() {
		return this.noticedAt + REWRITE_MS + UNNOTICED_EXPIRY_MS;
	}

	private long rewriteEndsAt() {
		return this.unavailableAt + REWRITE_MS + UNNOTICED_RECOVERY_MS;
	}

	private boolean outageWasBrief() {
		return this.knownAt != NEVER && this.longOutageAt <= this.knownAt && reachedShortlyBefore(this.unavailableAt);
	}

	// An outage may last until the call that is answered, and not only until the last one
	// that failed.
	private boolean mayHaveBeenLong(long answeredAt) {
		return this.unavailableAt > this.reachedAt && this.reachedAt + this.minLapseMs < answeredAt;
	}

	private boolean reachedShortlyBefore(long t) {
		return this.reachedAt + this.drainMs > t;
	}

	/**
	 * Returns the maximum age of the changes in the next update.
	 * @param now the current time in milliseconds
	 * @return milliseconds since the last known state; -1 if none is known
	 */
	long updateAgeMs(long now) {
		return (this.knownAt != NEVER) ? now - this.knownAt : -1;
	}

	/**
	 * Returns the time since the store was last known to be unavailable.
	 * @param now the current time in milliseconds
	 * @return milliseconds
	 */
	long sinceFailureMs(long now) {
		return now - this.unavailableAt;
	}

}
