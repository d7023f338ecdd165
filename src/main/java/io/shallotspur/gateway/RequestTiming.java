package io.shallotspur.gateway;

import java.util.function.IntSupplier;

import org.jspecify.annotations.Nullable;

import io.shallotspur.queueing.CallerPatience;
import io.shallotspur.route.Route;

/**
 * How long one request may wait for a worker, and what it needs there. Not thread-safe;
 * confined to the gateway's thread.
 */
final class RequestTiming {

	// A late response still has some value for the caller, but a request that has waited
	// for twice its objective while others are served first is refused, so that the
	// caller can retry after the burst. Callers give up after four objectives; refusing
	// just before that would be too late.
	private static final double MAX_WAIT_OBJECTIVES = 2;

	// Fraction of the time to its latest start that a request may wait for a rate limit.
	// While demand exceeds the limits, all requests that are sent wait this long, and a
	// further small delay must not make their responses late.
	private static final double LIMIT_WAIT_FRACTION = 0.5;

	private final EngineTimeEstimator times;

	private final Route route;

	private final @Nullable PromptInfo prompt;

	private final IntSupplier receivedTokens;

	private final long maxWaitMs;

	private final long deadline;

	private final long firstArrivalAt;

	private long waitStartedAt;

	/**
	 * Creates the timing of a request.
	 * @param gateway the gateway
	 * @param admitted the request
	 * @param upstream the upstream
	 * @param receivedTokens tokens of the response that the caller has received
	 * @param arrivedAt when it arrived, in milliseconds
	 * @param deadline when it must be answered, in milliseconds
	 */
	RequestTiming(Gateway gateway, AdmittedRequest admitted, String upstream, IntSupplier receivedTokens,
			long arrivedAt, long deadline) {
		this.times = gateway.engineTimes(upstream);
		this.route = admitted.route();
		this.prompt = admitted.request().prompt();
		this.receivedTokens = receivedTokens;
		this.maxWaitMs = maxWaitMs(admitted, upstream);
		this.deadline = deadline;
		this.firstArrivalAt = arrivedAt
				- gateway.requestAges.ageMs(this.route.name(), admitted.request().callerTimeoutMs());
	}

	/**
	 * Starts to wait for a worker. A caller whose response broke off after some seconds
	 * waits as long for its next event as for its first. Measured from the arrival of the
	 * request, the maximum wait would be over, and a response that could continue at
	 * another worker would end.
	 * @param now the present time in milliseconds
	 */
	void waitStarted(long now) {
		this.waitStartedAt = now;
	}

	/**
	 * Returns the latest time at which the request can start and still be on time.
	 * @return the time in milliseconds
	 */
	long latestStart() {
		return this.firstArrivalAt + this.route.latencyTargetMs() - this.times.timeToFirstEventMs();
	}

	/**
	 * Returns when the request stops waiting.
	 * @return the time in milliseconds
	 */
	long waitDeadline() {
		return Math.min(this.deadline - generationMs(), this.waitStartedAt + this.maxWaitMs);
	}

	// Where priorities differ, late requests do not delay more urgent ones, so they may
	// wait while their callers do.
	private long maxWaitMs(AdmittedRequest admitted, String upstream) {
		long objectiveMs = this.route.latencyTargetMs();
		if (!admitted.routeTable().hasSeveralPriorities(upstream)) {
			return (long) (MAX_WAIT_OBJECTIVES * objectiveMs);
		}
		return CallerPatience.maxWaitMs(objectiveMs, this.route.maxEventGapMs());
	}

	/**
	 * Returns how long a request without a reservation may wait for a rate limit.
	 * @param now the present time in milliseconds
	 * @return milliseconds
	 */
	long maxLimitWaitMs(long now) {
		return (long) (LIMIT_WAIT_FRACTION * Math.max(0, latestStart() - now));
	}

	/**
	 * Returns the expected time to generate the rest of the response. A request that is
	 * placed with less time left holds memory for seconds, and its caller's deadline
	 * passes in the middle of the response.
	 * @return milliseconds; 0 if the request does not state its length
	 */
	long generationMs() {
		PromptInfo p = this.prompt;
		return (p != null)
				? this.times.generationMs(Math.max(0, p.expectedOutputTokens() - this.receivedTokens.getAsInt())) : 0;
	}

	/**
	 * Returns the memory that the request needs at a decode worker.
	 * @return tokens; 0 if the request does not state its length
	 */
	int requiredTokens() {
		PromptInfo p = this.prompt;
		return (p != null) ? this.times.reservationTokens(p, this.receivedTokens.getAsInt()) : 0;
	}

}
