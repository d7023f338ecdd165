package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.EngineSpec;

/**
 * Progress of the response to one request, across all its attempts. Not thread-safe;
 * confined to the gateway's thread.
 */
final class ResponseProgress {

	private final int tokensPerEvent;

	private final EventTiming pace = new EventTiming();

	private @Nullable String lastEventId;

	private long firstByteAt;

	/**
	 * Creates an instance for a response of which this VM has received nothing yet.
	 * @param engine the engine properties of the upstream, or {@code null} for a plain
	 * upstream, whose workers serve whole requests without separate prefill and decode
	 * stages
	 * @param lastEventId the event after which the response resumes, or {@code null}
	 */
	ResponseProgress(@Nullable EngineSpec engine, @Nullable String lastEventId) {
		this.tokensPerEvent = (engine != null) ? engine.tokensPerEvent() : 0;
		this.lastEventId = lastEventId;
	}

	void recordFirstByte(long now) {
		this.firstByteAt = now;
	}

	long firstByteAt() {
		return this.firstByteAt;
	}

	@Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns how much of the response the caller has received from this VM.
	 * @return tokens; 0 if the number of tokens per event is not configured
	 */
	int receivedTokens() {
		return this.pace.eventCount() * this.tokensPerEvent;
	}

	long longestPauseMs() {
		return this.pace.maxGapMs();
	}

	/**
	 * Records a complete event.
	 * @param event the event
	 * @param attemptStartedAt when the attempt that produced it was sent, in milliseconds
	 * @param times records the interval between events
	 * @param now the current time in milliseconds
	 */
	void recordEvent(byte[] event, long attemptStartedAt, EngineTimeEstimator times, long now) {
		String id = EventSplitter.eventId(event);
		if (!id.isEmpty()) {
			this.lastEventId = id;
		}
		// An interval that spans two attempts includes the failover and says nothing
		// about the engine's speed.
		boolean sameAttempt = this.pace.lastEventAt() > attemptStartedAt;
		long pause = this.pace.recordEvent(now);
		if (sameAttempt) {
			times.recordEvent(pause, this.tokensPerEvent);
		}
	}

}
