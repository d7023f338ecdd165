package io.shallotspur.gateway;

import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;

/**
 * Chooses the retry delay of one request if it is refused. Not thread-safe; confined to
 * the gateway's thread.
 */
final class RetryDelay {

	/**
	 * The retry delay while this VM drains, ms. Short because the caller can go to
	 * another VM at once.
	 */
	static final long DRAINING_MS = 50;

	private final Gateway gateway;

	private final RelayRequest request;

	private final Route route;

	private final LazyIdentity identity;

	private final RequestPlacement placement;

	private final long arrivedAt;

	RetryDelay(Gateway gateway, RelayRequest request, Route route, LazyIdentity identity, RequestPlacement placement,
			long arrivedAt) {
		this.gateway = gateway;
		this.request = request;
		this.route = route;
		this.identity = identity;
		this.placement = placement;
		this.arrivedAt = arrivedAt;
	}

	/**
	 * Returns after how long a caller whose request is refused as not run is told to come
	 * back.
	 * @param reason why it is refused
	 * @param now the present time in milliseconds
	 * @return milliseconds
	 */
	long afterRefusalMs(RefusalReason reason, long now) {
		if (reason == RefusalReason.LEAVING) {
			return DRAINING_MS;
		}
		if (reason == RefusalReason.CRASHES_WORKERS) {
			return this.gateway.quarantine.remainingMs(this.identity, now);
		}
		double random = this.gateway.random.next();
		long remainingMs = this.request.callerTimeoutMs() - (now - this.arrivedAt);
		boolean workersBusy = reason == RefusalReason.WORKERS_LIMITED || reason == RefusalReason.WORKERS_FULL;
		long waitMs = workersBusy ? this.placement.retryWaitMs(now) : 0;
		if (reason == RefusalReason.WORKERS_LIMITED || waitMs > 0) {
			return RetryAfter.refillDelayMs(waitMs, remainingMs, random);
		}
		long queueMs = this.placement.expectedQueueMs();
		if (queueMs > 0) {
			return RetryAfter.queueDelayMs(queueMs, remainingMs, this.placement.generationMs(), random);
		}
		boolean tooLate = now > this.placement.latestStart();
		boolean hasTimeout = this.request.callerTimeoutMs() != Long.MAX_VALUE;
		if (tooLate && hasTimeout && this.route.kind() == RouteKind.STREAM) {
			return Math.max(1, RetryAfter.lateDelayMs(remainingMs, this.placement.generationMs(), random));
		}
		return RetryAfter.delayMs(this.route, random);
	}

}
