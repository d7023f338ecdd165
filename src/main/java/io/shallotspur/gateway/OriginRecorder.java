package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Route;

/**
 * Keeps one response at the version of the worker that brought its first event, and
 * remembers where its stream began for the case that its caller resumes it. Not
 * thread-safe; confined to the gateway's thread.
 */
final class OriginRecorder {

	// A caller resumes its stream while it waits for the rest, and may have waited longer
	// than this request tells, ms.
	private static final long MIN_TTL_MS = 60_000;

	private static final long MAX_TTL_MS = 600_000;

	private final Gateway gateway;

	private final Route route;

	private final RelayRequest request;

	private final RequestPlacement placement;

	private boolean recorded;

	OriginRecorder(Gateway gateway, AdmittedRequest admitted, RequestPlacement placement) {
		this.gateway = gateway;
		this.route = admitted.route();
		this.request = admitted.request();
		this.placement = placement;
		StreamOrigin o = admitted.origin();
		if (o != null) {
			placement.requireVersion(o.version());
		}
	}

	/**
	 * Handles an event.
	 * @param worker the worker that has sent it
	 * @param now the present time in milliseconds
	 */
	void onEvent(WorkerInfo worker, long now) {
		if (this.recorded) {
			return;
		}
		this.recorded = true;
		this.placement.requireVersion(worker.version());
		if (this.route.resumable()) {
			StreamOrigin origin = new StreamOrigin(worker.upstream(), worker.version());
			remember(this.request.id(), origin, now);
			remember(this.request.resumedRequest(), origin, now);
		}
	}

	private void remember(@Nullable String id, StreamOrigin origin, long now) {
		if (id != null) {
			this.gateway.origins.streamBegan(new KnownOrigin(id, origin, ttlMs()), this.route, now);
		}
	}

	private long ttlMs() {
		long waitMs = (this.request.callerTimeoutMs() != Long.MAX_VALUE)
				? Math.max(this.request.callerTimeoutMs(), this.route.timeoutMs()) : this.route.timeoutMs();
		return Math.max(MIN_TTL_MS, Math.min(MAX_TTL_MS, 2 * waitMs));
	}

}
