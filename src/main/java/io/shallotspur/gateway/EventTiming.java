package io.shallotspur.gateway;

/**
 * The events of one answer as they come, over all of its attempts. Not thread-safe;
 * confined to the gateway's thread.
 */
final class EventTiming {

	private int eventCount;

	private long lastEventAt;

	private long maxGapMs;

	/**
	 * Takes an event.
	 * @param now the present time in milliseconds
	 * @return the pause before it, or 0 if it is the first
	 */
	long recordEvent(long now) {
		long gapMs = (this.eventCount > 0) ? now - this.lastEventAt : 0;
		this.eventCount++;
		this.lastEventAt = now;
		this.maxGapMs = Math.max(this.maxGapMs, gapMs);
		return gapMs;
	}

	int eventCount() {
		return this.eventCount;
	}

	/**
	 * Returns when the latest event came.
	 * @return the time in milliseconds; 0 before the first
	 */
	long lastEventAt() {
		return this.lastEventAt;
	}

	long maxGapMs() {
		return this.maxGapMs;
	}

}
