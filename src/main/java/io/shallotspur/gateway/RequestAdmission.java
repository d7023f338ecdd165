package io.shallotspur.gateway;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

import io.shallotspur.quota.QuotaDecision;
import io.shallotspur.route.Customer;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.RouteTable;

/**
 * Admission of one request: finds its route, authenticates the customer and charges the
 * quota, then starts the relay. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: the request is either refused or handed over to a {@link RelayTask}, exactly
 * once, unless the caller disconnects first.
 */
final class RequestAdmission {

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	// Retry delay before the first configuration is loaded, ms. Loading takes about a
	// second after startup.
	private static final long STARTUP_RETRY_MS = 500;

	// Upper bound of the wait for the configuration store, ms. The store normally
	// responds within a few ms and, when slow, within some hundred; beyond that, the
	// caller is better served by another VM.
	private static final long MAX_CONFIG_REFRESH_MS = 500;

	// Share of the latency objective that the wait for the store may use.
	private static final double CONFIG_REFRESH_SHARE = 0.5;

	private final Gateway gateway;

	private final RelayRequest request;

	private final CallerResponse response;

	private final long arrivedAt;

	private @Nullable RelayTask relayTask;

	private @Nullable ResumeOrigin originSearch;

	private boolean done;

	private boolean awaitingConfig;

	// When the request ends at the latest; known once it has a route.
	private long deadline;

	private Runnable cancelTimer = () -> {
	};

	RequestAdmission(Gateway gateway, RelayRequest request, CallerResponse response, long arrivedAt) {
		this.gateway = gateway;
		this.request = request;
		this.response = response;
		this.arrivedAt = arrivedAt;
	}

	void start(long now) {
		route(true, now);
	}

	// The store is queried at most once per request; the configuration known afterwards
	// decides.
	private void route(boolean mayRefresh, long now) {
		RouteTable t = this.gateway.routeTable().orElse(null);
		if (t == null) {
			refuse(RelayRefusal.notRun(RefusalReason.NO_CONFIGURATION, STARTUP_RETRY_MS), now);
			return;
		}
		Optional<Route> r = t.findRoute(this.request.host(), this.request.path());
		if (r.isEmpty()) {
			refuse(new RelayRefusal(NOT_FOUND, RefusalReason.NO_ROUTE, 0), now);
			return;
		}
		this.deadline = this.arrivedAt + Math.min(this.request.callerTimeoutMs(), r.get().timeoutMs());
		if (this.gateway.mayOutlastVm(this.deadline, now)) {
			refuse(RelayRefusal.leaving(), now);
		}
		else {
			authenticate(t, r.get(), mayRefresh, now);
		}
	}

	private void authenticate(RouteTable t, Route r, boolean mayRefresh, long now) {
		KeyCheck.Decision v = KeyCheck.evaluate(t, r, this.request.keyHash(), this.gateway.configAgeMs(),
				this.gateway.settings.revokedKeyMs());
		switch (v.action()) {
			case ADMIT -> findOrigin(t, r, v.customer(), now);
			case DENY -> refuse(new RelayRefusal(UNAUTHORIZED, RefusalReason.UNKNOWN_KEY, 0), now);
			case REVALIDATE -> refreshConfig(r, mayRefresh, now);
		}
	}

	private void refreshConfig(Route r, boolean mayRefresh, long now) {
		if (!mayRefresh) {
			long retryAfterMs = RetryAfter.delayMs(r, this.gateway.random.next());
			refuse(RelayRefusal.notRun(RefusalReason.KEY_UNPROVEN, retryAfterMs), now);
			return;
		}
		this.awaitingConfig = true;
		long timeoutMs = Math.min(MAX_CONFIG_REFRESH_MS,
				Math.max(1, (long) (CONFIG_REFRESH_SHARE * r.latencyTargetMs())));
		this.cancelTimer = this.gateway.timer.schedule(timeoutMs, this::configRefreshed);
		this.gateway.refreshConfig(this::configRefreshed);
	}

	private void configRefreshed() {
		if (this.done || !this.awaitingConfig) {
			return;
		}
		this.awaitingConfig = false;
		this.cancelTimer.run();
		route(false, this.gateway.clock.getAsLong());
	}

	// Before the quota is charged, as a stream whose origin is unknown cannot be resumed.
	private void findOrigin(RouteTable t, Route r, @Nullable Customer c, long now) {
		if (this.request.lastEventId() == null || r.kind() != RouteKind.STREAM) {
			chargeQuota(t, r, c, null, now);
			return;
		}
		ResumeOrigin search = new ResumeOrigin(this.gateway, r, this.request.resumedRequest(),
				(origin) -> originFound(t, r, c, origin));
		this.originSearch = search;
		search.start(now);
	}

	private void originFound(RouteTable t, Route r, @Nullable Customer c, Optional<StreamOrigin> origin) {
		long now = this.gateway.clock.getAsLong();
		boolean routed = origin.isPresent()
				&& r.targets().stream().anyMatch((u) -> u.upstream().equals(origin.get().upstream()));
		if (routed) {
			chargeQuota(t, r, c, origin.get(), now);
			return;
		}
		RefusalReason reason = origin.isPresent() ? RefusalReason.VERSION_GONE : RefusalReason.ORIGIN_UNKNOWN;
		this.gateway.log.write(now, () -> "id=" + this.request.id() + " resumes stream-of="
				+ this.request.resumedRequest() + " origin=" + origin.orElse(null));
		refuse(RelayRefusal.notRun(reason, RetryAfter.delayMs(r, this.gateway.random.next())), c, now);
	}

	private void chargeQuota(RouteTable t, Route r, @Nullable Customer c, @Nullable StreamOrigin origin, long now) {
		if (c == null) {
			relay(new AdmittedRequest(this.request, t, r, null, 0, origin), now);
			return;
		}
		double cost = quotaCost(c);
		// The customer's own priority ranks its requests among those of others, not among
		// each other.
		QuotaDecision d = this.gateway.quotas.charge(c, r.priority(), cost, this.gateway.quotaShare(now), now);
		this.gateway.metrics.quotaShare(c.name(), d.unitsPerSecond());
		if (d.isAdmitted()) {
			this.gateway.refreshConfigIfStale();
			relay(new AdmittedRequest(this.request, t, r, c, cost, origin), now);
			return;
		}
		this.gateway.metrics.overQuota(c.name(), d.rank());
		long retryAfterMs = RetryAfter.refillDelayMs(d.refillMs(), this.request.callerTimeoutMs(),
				this.gateway.random.next());
		refuse(new RelayRefusal(RelayRefusal.TOO_MANY_REQUESTS, RefusalReason.OVER_QUOTA, retryAfterMs), c,
				" cost=" + cost + " " + d, now);
	}

	private double quotaCost(Customer c) {
		PromptInfo p = this.request.prompt();
		return (p != null) ? c.quota().cost(p.promptTokens(), p.maxOutputTokens()) : c.quota().plainRequestCost();
	}

	private void relay(AdmittedRequest a, long now) {
		this.done = true;
		this.gateway.metrics.requestArrived(a.route().name(), a.customerName());
		RelayTask newTask = new RelayTask(this.gateway, a, this.response, this.arrivedAt, this.deadline,
				() -> this.gateway.requestFinished(this));
		this.relayTask = newTask;
		newTask.start(now);
	}

	private void refuse(RelayRefusal refusal, long now) {
		refuse(refusal, null, now);
	}

	private void refuse(RelayRefusal refusal, @Nullable Customer c, long now) {
		refuse(refusal, c, "", now);
	}

	private void refuse(RelayRefusal refusal, @Nullable Customer c, String details, long now) {
		this.done = true;
		this.gateway.requestFinished(this);
		String customer = (c != null) ? c.name() : null;
		this.gateway.metrics.refused(refusal.reason(), customer);
		long version = this.gateway.routeTable().map(RouteTable::version).orElse(0L);
		this.gateway.log.write(now,
				() -> "id=" + this.request.id() + " customer=" + customer + " refused status=" + refusal.status()
						+ " reason=" + refusal.reason().code() + " retry-after-ms=" + refusal.retryAfterMs()
						+ " config=" + version + details);
		this.response.refuse(refusal);
	}

	// Ends the request, as this VM ends.
	void end(long now) {
		RelayTask t = this.relayTask;
		if (t != null) {
			t.end(now);
		}
		else if (!this.done) {
			cancel();
			refuse(RelayRefusal.leaving(), now);
		}
	}

	void refuseIfMayOutlastVm(long now) {
		RelayTask t = this.relayTask;
		if (t != null) {
			t.refuseIfMayOutlastVm(now);
		}
		else if (this.gateway.mayOutlastVm(this.deadline, now)) {
			end(now);
		}
	}

	void callerDisconnected() {
		RelayTask t = this.relayTask;
		if (t != null) {
			t.callerDisconnected();
		}
		else if (!this.done) {
			this.done = true;
			cancel();
			this.gateway.requestFinished(this);
		}
	}

	private void cancel() {
		this.cancelTimer.run();
		if (this.originSearch != null) {
			this.originSearch.cancel();
		}
	}

}
