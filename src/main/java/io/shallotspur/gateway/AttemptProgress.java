package io.shallotspur.gateway;

import io.shallotspur.quarantine.CrashedRun;

/**
 * For how long the worker of the current attempt of a streaming request has been writing
 * the answer. Not thread-safe; confined to the gateway's thread.
 */
final class AttemptProgress {

	private long firstEventAt = Long.MAX_VALUE;

	// How many of the times have passed at which the request is less likely to crash its
	// worker.
	private int reported;

	void attemptStarted() {
		this.firstEventAt = Long.MAX_VALUE;
		this.reported = 0;
	}

	/**
	 * Records an event.
	 * @param now the present time in milliseconds
	 * @return whether it is the first after one of {@link CrashedRun#PROGRESS_MS}
	 */
	boolean recordEvent(long now) {
		this.firstEventAt = Math.min(this.firstEventAt, now);
		int before = this.reported;
		while (this.reported < CrashedRun.PROGRESS_MS.length
				&& writingMs(now) >= CrashedRun.PROGRESS_MS[this.reported]) {
			this.reported++;
		}
		return this.reported > before;
	}

	long writingMs(long now) {
		return Math.max(0, now - this.firstEventAt);
	}

}
