package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.EngineSpec;

/**
 * How far the answer to one request has come, over all its attempts. Not thread-safe;
 * confined to the gateway's thread.
 */
final class ResponseProgress {

	private final int tokensPerEvent;

	private final EventTiming pace = new EventTiming();

	private @Nullable String lastEventId;

	private long firstByteAt;

	/**
	 * Creates the progress of an answer that has not begun here.
	 * @param engine the engines, if the request is for any
	 * @param lastEventId the event after which it is to go on, or {@code null}
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
	 * Returns how much of the answer its caller has got here.
	 * @return tokens, as far as the operator says how many an event has
	 */
	int receivedTokens() {
		return this.pace.eventCount() * this.tokensPerEvent;
	}

	long longestPauseMs() {
		return this.pace.maxGapMs();
	}

	/**
	 * Takes a whole event.
	 * @param event the event
	 * @param attemptAt when the attempt that it belongs to was sent, in milliseconds
	 * @param times learn the pace
	 * @param now the present time in milliseconds
	 */
	void recordEvent(byte[] event, long attemptAt, EngineTimeEstimator times, long now) {
		String id = EventSplitter.eventId(event);
		if (!id.isEmpty()) {
			this.lastEventId = id;
		}
		// A pause in which the worker was lost and another one found is not the engine's.
		boolean sameAttempt = this.pace.lastEventAt() > attemptAt;
		long pause = this.pace.recordEvent(now);
		if (sameAttempt) {
			times.recordEvent(pause, this.tokensPerEvent);
		}
	}

}
