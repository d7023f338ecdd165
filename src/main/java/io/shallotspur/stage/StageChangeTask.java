package io.shallotspur.stage;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

import org.tinylog.Logger;

import io.shallotspur.gateway.DirectPaths;
import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.Leadership;
import io.shallotspur.registry.StorePosition;

/**
 * Changes the stage of one worker. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Announces the change to all VMs, reads the worker's number of accepted orders, confirms
 * the leadership with the store, sends the order and polls the worker's report until the
 * order has taken effect. An order whose response was lost is resent only while the
 * worker's number of accepted orders is unchanged. It is therefore accepted at most once,
 * however late the first copy arrives.
 * <p>
 * Invariants: nothing is sent to a worker that has asked for a pause; no order is sent
 * while the direct path to the worker is lost, since one that arrives through another VM
 * is one of another sender with the same fencing token; {@code onEnd} is called exactly
 * once, at the end, with whether the change has taken effect.
 */
final class StageChangeTask {

	// In ms. A worker changes stage some seconds after its last request, and each call is
	// billed, so it is not polled more often.
	private static final long POLL_MS = 1_500;

	// In ms. Running requests of up to 14 s are completed before the stage changes.
	private static final long TIMEOUT_MS = 40_000;

	private static final int MAX_ORDERS = 3;

	// Consecutive report calls that fail before the worker counts as lost. A crashed
	// worker forgets its order, and waiting for it keeps another worker from taking over
	// the change.
	private static final int MAX_FAILED_REPORTS = 2;

	// In ms. Orders that had no answer may be carried out some seconds later; the worker
	// receives no requests while the change waits.
	private static final long MAX_PATH_WAIT_MS = 8_000;

	private static final long NEVER = Long.MIN_VALUE;

	private final Leadership leadership;

	private final StorePosition term;

	private final StagePort port;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final String vmName;

	private final WorkerInfo worker;

	private final WorkerStage targetStage;

	private final long propagationMs;

	private final DirectPaths paths;

	private final ToLongFunction<WorkerInfo> pauseRemainingMs;

	private final Consumer<Boolean> onEnd;

	private long changeStartedAt;

	private int orderCount;

	private int failedReports;

	private long workerStartedAt;

	private long pathLostAt = NEVER;

	private boolean accepted;

	StageChangeTask(Leadership leadership, StagePort port, GatewayTimer timer, LongSupplier clock, String vmName,
			WorkerInfo worker, WorkerStage targetStage, long propagationMs, DirectPaths paths,
			ToLongFunction<WorkerInfo> pauseRemainingMs, Consumer<Boolean> onEnd) {
		this.leadership = leadership;
		this.term = leadership.term();
		this.port = port;
		this.timer = timer;
		this.clock = clock;
		this.vmName = vmName;
		this.worker = worker;
		this.workerStartedAt = worker.startedAt();
		this.targetStage = targetStage;
		this.propagationMs = propagationMs;
		this.paths = paths;
		this.pauseRemainingMs = pauseRemainingMs;
		this.onEnd = onEnd;
	}

	WorkerInfo worker() {
		return this.worker;
	}

	WorkerStage targetStage() {
		return this.targetStage;
	}

	/**
	 * Returns whether the worker has accepted an order and carries it out. What is left
	 * is to watch it, which needs no leadership.
	 * @return whether it has
	 */
	boolean isAccepted() {
		return this.accepted;
	}

	void start(long now) {
		this.changeStartedAt = now;
		this.leadership.announceStageChange(this.worker.id(), this.targetStage, this.term)
			.subscribe((announced) -> onAnnounced(announced), (ex) -> fail("announcement failed: " + ex));
	}

	private void onAnnounced(boolean announced) {
		if (announced) {
			this.timer.schedule(this.propagationMs, this::pollReport);
		}
		else {
			fail("leadership lost");
		}
	}

	private void pollReport() {
		if (this.clock.getAsLong() - this.changeStartedAt > TIMEOUT_MS) {
			fail("timed out");
			return;
		}
		if (isPathWaitOver()) {
			fail("no direct path");
			return;
		}
		long pauseMs = this.pauseRemainingMs.applyAsLong(this.worker);
		if (pauseMs > 0) {
			this.timer.schedule(Math.min(pauseMs, POLL_MS), this::pollReport);
			return;
		}
		this.port.report(this.worker).subscribe((r) -> {
			this.failedReports = 0;
			onReport(r);
		}, (ex) -> {
			Logger.info("[stage] report failed worker={} seen=\"{}\"", this.worker.id(), ex.toString());
			this.paths.callUnanswered(this.worker);
			if (++this.failedReports >= MAX_FAILED_REPORTS) {
				fail("worker lost");
			}
			else {
				schedulePoll();
			}
		});
	}

	private void schedulePoll() {
		this.timer.schedule(POLL_MS, this::pollReport);
	}

	// A restart resets the worker's number of accepted orders, so a delayed order for the
	// previous incarnation could be accepted by the new one.
	private boolean hasRestarted(StageReport r) {
		long previous = this.workerStartedAt;
		this.workerStartedAt = Math.max(previous, r.startedAt());
		return previous > 0 && r.startedAt() > previous;
	}

	private void onReport(StageReport r) {
		this.accepted = r.orderInProgress();
		if (hasRestarted(r)) {
			fail("worker restarted");
		}
		else if (r.stage() == this.targetStage && !r.orderInProgress()) {
			finish("completed", true);
		}
		else if (r.orderInProgress()) {
			schedulePoll();
		}
		else if (this.orderCount >= MAX_ORDERS) {
			fail("orders had no effect");
		}
		else if (!this.paths.reachesDirectly(this.worker)) {
			Logger.info("[stage] order waits for the direct path worker={}", this.worker.id());
			schedulePoll();
		}
		else {
			confirmLeadership(r.acceptedOrders());
		}
	}

	// An order that has had no answer may still be carried out, so the announcement stays
	// for a while; without one, another worker may be changed instead.
	private boolean isPathWaitOver() {
		long now = this.clock.getAsLong();
		if (this.accepted || this.paths.reachesDirectly(this.worker)) {
			this.pathLostAt = NEVER;
			return false;
		}
		this.paths.checkSuspected(this.worker);
		this.pathLostAt = (this.pathLostAt == NEVER) ? now : this.pathLostAt;
		return this.orderCount == 0 || now - this.pathLostAt >= MAX_PATH_WAIT_MS;
	}

	private void confirmLeadership(long acceptedOrders) {
		this.leadership.confirm().subscribe((confirmed) -> {
			if (this.pauseRemainingMs.applyAsLong(this.worker) > 0) {
				schedulePoll();
			}
			else if (confirmed && isSameTerm() && this.leadership.mayAct(this.clock.getAsLong())) {
				sendOrder(acceptedOrders);
			}
			else {
				fail("leadership lost");
			}
		}, (ex) -> {
			Logger.info("[stage] leadership check failed worker={} seen=\"{}\"", this.worker.id(), ex.toString());
			schedulePoll();
		});
	}

	// The announcement ended with the lease of its term, and other VMs use the worker.
	private boolean isSameTerm() {
		return this.leadership.term().equals(this.term);
	}

	private void sendOrder(long acceptedOrders) {
		this.orderCount++;
		StageOrder o = new StageOrder(this.worker, this.targetStage, this.vmName, this.term.fencingToken(),
				acceptedOrders);
		Logger.info("[stage] order worker={} stage={} fence={} expected={}", this.worker.id(), this.targetStage,
				o.fencingToken(), acceptedOrders);
		this.port.order(o).subscribe(this::onOrderResult, (ex) -> {
			Logger.info("[stage] no response to order worker={} seen=\"{}\"", this.worker.id(), ex.toString());
			this.paths.callUnanswered(this.worker);
			schedulePoll();
		});
	}

	private void onOrderResult(OrderResult r) {
		Logger.info("[stage] order answered worker={} result={}", this.worker.id(), r);
		this.accepted = r == OrderResult.ACCEPTED;
		switch (r) {
			case ACCEPTED, CONFLICT -> schedulePoll();
			case FENCED, REPLACED, REFUSED -> fail("order rejected: " + r);
		}
	}

	// VMs do not use a worker while its change is announced, so the announcement is
	// withdrawn to make the worker available again. If the order takes effect later, VMs
	// learn the new stage from the registry.
	private void fail(String reason) {
		this.leadership.withdrawStageChange(this.worker.id(), this.term).subscribe((withdrawn) -> {
			if (!withdrawn) {
				Logger.info("[stage] not withdrawn, as another VM leads worker={}", this.worker.id());
			}
		}, (ex) -> Logger.info("[stage] withdrawal failed worker={} seen=\"{}\"", this.worker.id(), ex.toString()));
		finish(reason, false);
	}

	private void finish(String outcome, boolean succeeded) {
		Logger.info("[stage] worker={} stage={} ended=\"{}\" orders={}", this.worker.id(), this.targetStage, outcome,
				this.orderCount);
		this.onEnd.accept(succeeded);
	}

}
