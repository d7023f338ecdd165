package io.shallotspur.gateway;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteTable;

/**
 * A request between its arrival and its way to a worker: finds its route, whose it is,
 * and whether that customer may still ask for it. Not thread-safe; confined to the
 * gateway's thread.
 * <p>
 * Invariant: the request is refused or handed on once, unless its caller leaves before.
 */
final class Arrival {

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	// Until the first configuration has come, which takes a second or so
	// after a start, ms.
	private static final long STARTING_RETRY_MS = 500;

	// The callers of a VM that leaves go to another one, which is there already, ms.
	private static final long ELSEWHERE_MS = 50;

	// The store answers in a few ms, a slow one in some hundred. A caller that waits
	// longer for nothing but its permission would better ask another VM, ms.
	private static final long MOST_PROOF_MS = 500;

	// The part of the latency objective that may go into it.
	private static final double PROOF_SHARE = 0.5;

	private final Gateway g;

	private final RelayRequest request;

	private final CallerAnswer answer;

	private final long arrivedAt;

	private @Nullable RelayTask task;

	private boolean over;

	private boolean asking;

	private Runnable cancelTimer = () -> {
	};

	Arrival(Gateway g, RelayRequest request, CallerAnswer answer, long arrivedAt) {
		this.g = g;
		this.request = request;
		this.answer = answer;
		this.arrivedAt = arrivedAt;
	}

	void start() {
		judge(true, this.arrivedAt);
	}

	// The store is asked once; what is known after that decides.
	private void judge(boolean mayAsk, long now) {
		RouteTable t = this.g.table().orElse(null);
		if (t == null) {
			refuse(RelayRefusal.notRun(RefusalReason.NO_CONFIGURATION, STARTING_RETRY_MS), now);
			return;
		}
		Optional<Route> r = t.find(this.request.host(), this.request.path());
		if (r.isEmpty()) {
			refuse(new RelayRefusal(NOT_FOUND, RefusalReason.NO_ROUTE, 0), now);
		}
		else if (this.g.tooLate(r.get(), this.request, now)) {
			refuse(RelayRefusal.notRun(RefusalReason.LEAVING, ELSEWHERE_MS), now);
		}
		else {
			judge(t, r.get(), mayAsk, now);
		}
	}

	private void judge(RouteTable t, Route r, boolean mayAsk, long now) {
		KeyCheck.Verdict v = KeyCheck.of(t, r, this.request.keyHash(), this.g.proofAgeMs(),
				this.g.settings.revokedKeyMs());
		switch (v.action()) {
			case ADMIT -> charge(t, r, v.customer(), now);
			case DENY -> refuse(new RelayRefusal(UNAUTHORIZED, RefusalReason.UNKNOWN_KEY, 0), now);
			case PROVE -> prove(r, mayAsk, now);
		}
	}

	private void prove(Route r, boolean mayAsk, long now) {
		if (!mayAsk) {
			long after = RetryAdvice.afterMs(r, this.g.random.next());
			refuse(RelayRefusal.notRun(RefusalReason.KEY_UNPROVEN, after), now);
			return;
		}
		this.asking = true;
		long most = Math.min(MOST_PROOF_MS, Math.max(1, (long) (PROOF_SHARE * r.targetMs())));
		this.cancelTimer = this.g.timer.after(most, this::proofOver);
		this.g.askForProof(this::proofOver);
	}

	private void proofOver() {
		if (this.over || !this.asking) {
			return;
		}
		this.asking = false;
		this.cancelTimer.run();
		judge(false, this.g.clock.getAsLong());
	}

	private void charge(RouteTable t, Route r, @Nullable Customer c, long now) {
		double cost = (c != null) ? cost(c) : 0;
		long wait = (c != null) ? this.g.quotas.take(c, cost, QuotaPart.of(this.g.vms, now), now) : 0;
		if (wait > 0) {
			long after = RetryAdvice.afterRefillMs(wait, this.request.waitMs(), this.g.random.next());
			refuse(new RelayRefusal(RelayRefusal.TOO_MANY, RefusalReason.OVER_QUOTA, after), c, now);
			return;
		}
		if (c != null) {
			this.g.keyUsed();
		}
		relay(new Admitted(this.request, t, r, c, cost), now);
	}

	private double cost(Customer c) {
		PromptShape p = this.request.prompt();
		return (p != null) ? c.quota().cost(p.promptTokens(), p.maxOutputTokens()) : c.quota().plainCost();
	}

	private void relay(Admitted a, long now) {
		this.over = true;
		this.g.metrics.arrived(a.route().name(), a.customerName());
		RelayTask next = new RelayTask(this.g, a, this.answer, this.arrivedAt);
		this.task = next;
		next.start(now);
	}

	private void refuse(RelayRefusal refusal, long now) {
		refuse(refusal, null, now);
	}

	private void refuse(RelayRefusal refusal, @Nullable Customer c, long now) {
		this.over = true;
		this.g.ended();
		String customer = (c != null) ? c.name() : null;
		this.g.metrics.refused(refusal.code(), customer);
		long version = this.g.table().map(RouteTable::version).orElse(0L);
		this.g.log.write(now,
				() -> "id=" + this.request.id() + " customer=" + customer + " refused status=" + refusal.status()
						+ " reason=" + refusal.code().code() + " retry-after-ms=" + refusal.retryAfterMs() + " config="
						+ version);
		this.answer.refuse(refusal);
	}

	void callerGone() {
		RelayTask t = this.task;
		if (t != null) {
			t.callerGone();
		}
		else if (!this.over) {
			this.over = true;
			this.cancelTimer.run();
			this.g.ended();
		}
	}

}
