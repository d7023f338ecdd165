package io.shallotspur.gateway;

/**
 * The events of one answer as they come, over all of its attempts. Not thread-safe;
 * confined to the gateway's thread.
 */
final class AnswerPace {

	private int events;

	private long latestAt;

	private long longestPauseMs;

	/**
	 * Takes an event.
	 * @param now the present time in milliseconds
	 * @return the pause before it, or 0 if it is the first
	 */
	long event(long now) {
		long pause = (this.events > 0) ? now - this.latestAt : 0;
		this.events++;
		this.latestAt = now;
		this.longestPauseMs = Math.max(this.longestPauseMs, pause);
		return pause;
	}

	int events() {
		return this.events;
	}

	/**
	 * Returns when the latest event came.
	 * @return the time in milliseconds; 0 before the first
	 */
	long latestAt() {
		return this.latestAt;
	}

	long longestPauseMs() {
		return this.longestPauseMs;
	}

}
