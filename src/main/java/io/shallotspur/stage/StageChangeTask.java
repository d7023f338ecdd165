package io.shallotspur.stage;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.tinylog.Logger;

import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.Leadership;

/**
 * Has one worker change over. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Announces the change to all VMs, asks the worker how many orders it has accepted, makes
 * sure of the duty, gives the order and reads back until it is in force. An order whose
 * answer was lost is given again only while the worker has still accepted as many as
 * before, so that it is accepted once, however late the first one arrives.
 * <p>
 * Invariant: {@code then} hears once, when it has ended, whether the change is in force.
 */
final class StageChangeTask {

	// A worker is back some seconds after its last request; asking is billed, ms.
	private static final long POLL_MS = 1_500;

	// Requests of up to 14 s run to their end before a worker changes over, ms.
	private static final long LIMIT_MS = 40_000;

	private static final int MOST_ORDERS = 3;

	// Reports in a row that do not come. A worker that crashed keeps nothing of an order,
	// and while it is waited for no other one changes over.
	private static final int MOST_SILENT = 2;

	private final Leadership duty;

	private final StagePort port;

	private final GatewayTimer timer;

	private final LongSupplier clock;

	private final String vm;

	private final WorkerInfo worker;

	private final WorkerStage stage;

	private final long heardByAllMs;

	private final Consumer<Boolean> then;

	private long begunAt;

	private int orders;

	private int silent;

	private long startedAt;

	StageChangeTask(Leadership duty, StagePort port, GatewayTimer timer, LongSupplier clock, String vm, WorkerInfo worker,
			WorkerStage stage, long heardByAllMs, Consumer<Boolean> then) {
		this.duty = duty;
		this.port = port;
		this.timer = timer;
		this.clock = clock;
		this.vm = vm;
		this.worker = worker;
		this.startedAt = worker.startedAt();
		this.stage = stage;
		this.heardByAllMs = heardByAllMs;
		this.then = then;
	}

	WorkerInfo worker() {
		return this.worker;
	}

	WorkerStage stage() {
		return this.stage;
	}

	void start(long now) {
		this.begunAt = now;
		this.duty.announceStageChange(this.worker.id(), this.stage)
			.subscribe((ok) -> announced(ok), (ex) -> fail("not announced: " + ex));
	}

	private void announced(boolean ok) {
		if (ok) {
			this.timer.schedule(this.heardByAllMs, this::look);
		}
		else {
			fail("duty lost");
		}
	}

	private void look() {
		if (this.clock.getAsLong() - this.begunAt > LIMIT_MS) {
			fail("not in force in time");
			return;
		}
		this.port.report(this.worker).subscribe((r) -> {
			this.silent = 0;
			judge(r);
		}, (ex) -> {
			Logger.info("[stage] no report worker={} seen=\"{}\"", this.worker.id(), ex.toString());
			if (++this.silent >= MOST_SILENT) {
				fail("worker lost");
			}
			else {
				lookLater();
			}
		});
	}

	private void lookLater() {
		this.timer.schedule(POLL_MS, this::look);
	}

	// The count of orders begins anew with a worker's start, so that an order for its
	// former life could be taken for one of this life.
	private boolean startedAgain(StageReport r) {
		long before = this.startedAt;
		this.startedAt = Math.max(before, r.startedAt());
		return before > 0 && r.startedAt() > before;
	}

	private void judge(StageReport r) {
		if (startedAgain(r)) {
			fail("worker started again");
		}
		else if (r.stage() == this.stage && !r.orderInProgress()) {
			end("in force", true);
		}
		else if (r.orderInProgress()) {
			lookLater();
		}
		else if (this.orders >= MOST_ORDERS) {
			fail("orders without effect");
		}
		else {
			confirm(r.acceptedOrders());
		}
	}

	private void confirm(long accepted) {
		this.duty.confirm().subscribe((mine) -> {
			if (mine && this.duty.mayAct(this.clock.getAsLong())) {
				order(accepted);
			}
			else {
				fail("duty lost");
			}
		}, (ex) -> {
			Logger.info("[stage] duty not confirmed worker={} seen=\"{}\"", this.worker.id(), ex.toString());
			lookLater();
		});
	}

	private void order(long accepted) {
		this.orders++;
		StageOrder o = new StageOrder(this.worker, this.stage, this.vm, this.duty.fencingToken(), accepted);
		Logger.info("[stage] order worker={} stage={} fence={} expected={}", this.worker.id(), this.stage, o.fencingToken(),
				accepted);
		this.port.order(o).subscribe(this::taken, (ex) -> {
			Logger.info("[stage] order without answer worker={} seen=\"{}\"", this.worker.id(), ex.toString());
			lookLater();
		});
	}

	private void taken(OrderResult r) {
		switch (r) {
			case ACCEPTED, CONFLICT -> lookLater();
			case FENCED, REPLACED, REFUSED -> fail("order " + r);
		}
	}

	// No VM uses a worker that is announced to change over and has not. One that stays as
	// it is has to be used again. An order that comes into force late after all is seen
	// in the registry.
	private void fail(String why) {
		this.duty.withdrawStageChange(this.worker.id()).subscribe((v) -> {
		}, (ex) -> Logger.info("[stage] not withdrawn worker={} seen=\"{}\"", this.worker.id(), ex.toString()));
		end(why, false);
	}

	private void end(String outcome, boolean inForce) {
		Logger.info("[stage] worker={} stage={} ended=\"{}\" orders={}", this.worker.id(), this.stage, outcome,
				this.orders);
		this.then.accept(inForce);
	}

}
