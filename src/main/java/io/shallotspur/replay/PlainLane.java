package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.shallotspur.contract.RequestClass;
import io.shallotspur.fleet.Worker;
import io.shallotspur.plain.PlainAction;
import io.shallotspur.plain.PlainEvent;
import io.shallotspur.plain.PlainRequest;
import io.shallotspur.plain.PlainScheduler;
import io.shallotspur.replay.fake.EventQueue;
import io.shallotspur.replay.fake.PlainEngine;

/**
 * A plain upstream: carries out the actions of a {@link PlainScheduler} on fake workers
 * and tells it what happens, with the delays of the network. Not thread-safe.
 * <p>
 * Invariant: an answer to an attempt that was given up never reaches the scheduler.
 */
final class PlainLane implements Lane {

	private final EventQueue queue;

	private final Desk desk;

	private final Fleet.UpstreamSpec spec;

	private final SchedulerLoop<PlainEvent, PlainAction> loop;

	private final String hall;

	private final WorkerBook book;

	private final Map<String, PlainEngine> engines = new LinkedHashMap<>();

	private final Map<String, Run> runs = new HashMap<>();

	private final Map<Long, Run> attempts = new HashMap<>();

	private final Set<Long> closed = new HashSet<>();

	PlainLane(EventQueue queue, Desk desk, Fleet.UpstreamSpec spec, PlainScheduler scheduler, WorkerBook book) {
		this.queue = queue;
		this.desk = desk;
		this.spec = spec;
		this.book = book;
		this.hall = spec.workers().get(0).worker().hall();
		this.loop = new SchedulerLoop<>(queue, scheduler::handle, scheduler::nextWake, PlainEvent.Tick::new,
				this::apply);
		for (Fleet.WorkerSpec w : spec.workers()) {
			Worker worker = w.worker();
			book.add(worker);
			this.engines.put(worker.id(), new PlainEngine(queue, worker.slots(), w.serviceMs(),
					(a) -> desk.started(this.attempts.get(a)), (a) -> done(a, worker.id())));
		}
	}

	/**
	 * Makes all workers known.
	 */
	void open() {
		this.spec.workers().forEach((w) -> this.loop.deliver(new PlainEvent.WorkerUp(w.worker())));
	}

	@Override
	public void submit(Run run) {
		this.runs.put(run.id(), run);
		RequestClass c = run.terms();
		this.loop.deliver(new PlainEvent.Submit(new PlainRequest(run.id(), run.line().customer(), c.name(),
				c.priority(), run.arrivedAtMs(), run.line().atMs() + c.ttftMs(), run.deadlineAtMs(), c.repeatable())));
	}

	@Override
	public void callerGone(Run run) {
		this.loop.deliver(new PlainEvent.CallerGone(run.id()));
	}

	@Override
	public boolean holds(Run run) {
		return this.attempts.entrySet()
			.stream()
			.filter((e) -> e.getValue() == run)
			.anyMatch((e) -> this.engines.values().stream().anyMatch((w) -> w.holds(e.getKey())));
	}

	@Override
	public boolean has(String worker) {
		return this.engines.containsKey(worker);
	}

	@Override
	public void crash(String worker) {
		PlainEngine engine = this.engines.get(worker);
		if (!engine.isUp()) {
			return;
		}
		List<Long> lost = new ArrayList<>(engine.crash());
		this.queue.after(hop(worker), () -> this.loop.deliver(new PlainEvent.WorkerDown(worker)));
		lost.forEach((a) -> tell(a, worker, new PlainEvent.CallOutcomeUnknown(a)));
		this.queue.after(Timing.RESTART, () -> restart(worker));
	}

	@Override
	public void leave(String worker) {
		this.book.leave(worker, this.queue.now());
		this.queue.after(Timing.VM_LIST_LAG, () -> this.loop.deliver(new PlainEvent.WorkerLeaving(worker)));
	}

	@Override
	public void stall(String worker, long forMs) {
		// Nothing is transferred to a plain worker.
	}

	private void apply(PlainAction action) {
		if (action instanceof PlainAction.StartCall a) {
			start(a);
		}
		else if (action instanceof PlainAction.CancelCall a) {
			this.closed.add(a.attempt());
			this.queue.after(hop(a.workerId()), () -> this.engines.get(a.workerId()).cancel(a.attempt()));
		}
		else if (action instanceof PlainAction.Refuse a) {
			this.desk.refused(this.runs.get(a.requestId()), a.refusal());
		}
	}

	private void start(PlainAction.StartCall action) {
		long a = action.attempt();
		String worker = action.workerId();
		Run run = this.runs.get(action.requestId());
		this.attempts.put(a, run);
		run.dispatch();
		this.book.useNow(worker, this.queue.now());
		long commit = run.terms().repeatable() ? 0 : Timing.LEDGER_COMMIT;
		this.queue.after(commit + hop(worker), () -> {
			if (this.closed.contains(a)) {
				return;
			}
			if (this.engines.get(worker).isUp()) {
				this.engines.get(worker).submit(a);
			}
			else {
				tell(a, worker, new PlainEvent.CallNotRun(a));
			}
		});
	}

	private void done(long attempt, String worker) {
		Run run = this.attempts.get(attempt);
		this.queue.after(hop(worker), () -> {
			if (!this.closed.add(attempt) || !run.isOpen()) {
				return;
			}
			this.desk.answered(run);
			this.loop.deliver(new PlainEvent.CallCompleted(attempt));
		});
	}

	private void restart(String worker) {
		this.engines.get(worker).restart();
		if (!this.book.isLeaving(worker)) {
			Worker w = this.book.worker(worker);
			this.queue.after(hop(worker), () -> this.loop.deliver(new PlainEvent.WorkerUp(w)));
		}
	}

	private void tell(long attempt, String worker, PlainEvent event) {
		this.queue.after(hop(worker), () -> {
			if (!this.closed.contains(attempt)) {
				this.loop.deliver(event);
			}
		});
	}

	private long hop(String worker) {
		return Timing.hop(this.hall, this.book.worker(worker).hall());
	}

}
