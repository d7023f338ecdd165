package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.shallotspur.cell.CellAction;
import io.shallotspur.cell.CellEvent;
import io.shallotspur.cell.CellScheduler;
import io.shallotspur.replay.fake.DecodeEngine;
import io.shallotspur.replay.fake.EventQueue;
import io.shallotspur.replay.fake.PrefillEngine;
import io.shallotspur.replay.fake.PrefixCache.Prefix;

/**
 * A model upstream: carries out the actions of a {@link CellScheduler} on fake engines
 * and tells it what happens, with the delays of the network. Not thread-safe.
 * <p>
 * Invariant: an answer to an attempt that was given up never reaches the scheduler.
 */
final class ModelLane implements Lane {

	private final EventQueue queue;

	private final Desk desk;

	private final Fleet.UpstreamSpec spec;

	private final SchedulerLoop<CellEvent, CellAction> loop;

	private final String hall;

	private final WorkerBook book;

	private final EngineReports reports;

	private final ModelEngines engines = new ModelEngines();

	private final Map<String, Run> runs = new HashMap<>();

	private final Map<Long, Attempt> attempts = new LinkedHashMap<>();

	private final List<Run> crashers = new ArrayList<>();

	ModelLane(EventQueue queue, Desk desk, Fleet.UpstreamSpec spec, CellScheduler scheduler, WorkerBook book,
			long seed) {
		this.queue = queue;
		this.desk = desk;
		this.spec = spec;
		this.book = book;
		this.hall = spec.workers().get(0).worker().hall();
		this.loop = new SchedulerLoop<>(queue, scheduler::handle, scheduler::nextWake, CellEvent.Tick::new,
				this::apply);
		this.reports = new EngineReports(queue, seed, this.loop::deliver);
		spec.workers().forEach(this::addWorker);
	}

	Collection<Attempt> attempts() {
		return this.attempts.values();
	}

	/**
	 * Returns the request behind each crash that a request caused.
	 * @return one element for each crashed worker
	 */
	List<Run> crashers() {
		return this.crashers;
	}

	/**
	 * Makes all workers known and starts their reports.
	 * @param end when the reports stop, in microseconds
	 */
	void open(long end) {
		this.spec.workers().forEach((w) -> this.loop.deliver(new CellEvent.WorkerUp(w.worker())));
		for (Fleet.WorkerSpec w : this.spec.workers()) {
			String id = w.worker().id();
			this.reports.follow(id, () -> this.engines.load(id), end);
		}
	}

	@Override
	public void submit(Run run) {
		this.runs.put(run.id(), run);
		this.loop.deliver(new CellEvent.Submit(PromptHash.toModelRequest(run)));
	}

	@Override
	public void callerGone(Run run) {
		this.loop.deliver(new CellEvent.CallerGone(run.id()));
	}

	@Override
	public boolean holds(Run run) {
		return this.attempts.values()
			.stream()
			.filter((a) -> a.run() == run)
			.anyMatch((a) -> this.engines.holds(a.id()));
	}

	@Override
	public boolean has(String worker) {
		return this.engines.has(worker);
	}

	@Override
	public void crash(String worker) {
		if (!this.engines.isUp(worker)) {
			return;
		}
		List<Attempt> cut = this.engines.isPrefill(worker) ? cutTransfersFrom(worker) : cutTransfersTo(worker);
		this.engines.crash(worker);
		tell(worker, new CellEvent.WorkerDown(worker));
		for (Attempt a : cut) {
			int round = a.nextTransfer();
			tellTransfer(a, round, worker, new CellEvent.TransferFailed(a.id()));
		}
		this.queue.after(Timing.RESTART, () -> restart(worker));
	}

	@Override
	public void leave(String worker) {
		this.book.leave(worker, this.queue.now());
		this.queue.after(Timing.VM_LIST_LAG, () -> this.loop.deliver(new CellEvent.WorkerLeaving(worker)));
	}

	@Override
	public void stall(String worker, long forMs) {
		if (!this.engines.isPrefill(worker)) {
			this.engines.decode(worker).stall(forMs);
		}
	}

	private void addWorker(Fleet.WorkerSpec w) {
		String id = w.worker().id();
		this.book.add(w.worker());
		this.engines.add(this.queue, w, new PrefillEvents(id), new DecodeEvents(id));
	}

	private void apply(CellAction action) {
		if (action instanceof CellAction.StartPrefill a) {
			startPrefill(a);
		}
		else if (action instanceof CellAction.StartTransfer a) {
			startTransfer(this.attempts.get(a.attempt()), a.decodeWorkerId());
		}
		else if (action instanceof CellAction.StartDecode a) {
			startDecode(this.attempts.get(a.attempt()), a.decodeWorkerId());
		}
		else if (action instanceof CellAction.CancelPrefill a) {
			drop(this.attempts.get(a.attempt()), a.workerId());
		}
		else if (action instanceof CellAction.ReleaseKv a) {
			order(a.workerId(), () -> this.engines.prefill(a.workerId()).cancel(a.attempt()));
		}
		else if (action instanceof CellAction.CancelTransfer a) {
			cancelTransfer(this.attempts.get(a.attempt()), a.decodeWorkerId());
		}
		else if (action instanceof CellAction.CancelDecode a) {
			this.attempts.get(a.attempt()).close();
			order(a.workerId(), () -> this.engines.decode(a.workerId()).cancel(a.attempt()));
		}
		else if (action instanceof CellAction.Refuse a) {
			this.desk.refused(this.runs.get(a.requestId()), a.refusal());
		}
	}

	private void startPrefill(CellAction.StartPrefill action) {
		Run run = this.runs.get(action.requestId());
		run.dispatch();
		String worker = action.prefillWorkerId();
		Attempt a = new Attempt(action.attempt(), run, worker, action.deliveredTokens());
		this.attempts.put(a.id(), a);
		this.book.useNow(worker, this.queue.now());
		if (action.deliveredTokens() != run.delivered()) {
			this.desk.brokenAnswer(run);
		}
		TraceLine.Tokens t = PromptHash.tokens(run);
		order(worker, () -> {
			PrefillEngine engine = this.engines.prefill(worker);
			if (engine.isUp()) {
				engine.submit(a.id(), t.prompt() + a.resumeFrom(), t.prefix());
			}
			else {
				tell(a, worker, new CellEvent.PrefillFailed(a.id()));
			}
		});
	}

	private void startTransfer(Attempt a, String worker) {
		this.book.useNow(worker, this.queue.now());
		int round = a.nextTransfer();
		order(worker, () -> {
			if (a.isTransfer(round) && !beginTransfer(a, worker)) {
				tellTransfer(a, round, worker, new CellEvent.TransferFailed(a.id()));
			}
		});
	}

	private boolean beginTransfer(Attempt a, String worker) {
		DecodeEngine decode = this.engines.decode(worker);
		PrefillEngine prefill = this.engines.prefill(a.prefillWorker());
		if (!decode.isUp() || !prefill.beginTransfer(a.id())) {
			return false;
		}
		double perToken = this.book.worker(worker).kvMbPerToken();
		int tokens = PromptHash.tokens(a.run()).prompt() + a.resumeFrom();
		if (!decode.beginTransfer(a.id(), tokens * perToken)) {
			prefill.abortTransfer(a.id());
			return false;
		}
		a.moveTo(worker);
		return true;
	}

	private void startDecode(Attempt a, String worker) {
		int left = PromptHash.tokens(a.run()).output() - a.resumeFrom();
		order(worker, () -> {
			if (a.isClosed()) {
				return;
			}
			if (!this.engines.decode(worker).beginDecode(a.id(), Math.max(1, left))) {
				tell(a, worker, new CellEvent.DecodeFailed(a.id()));
				return;
			}
			this.desk.started(a.run());
			if (this.desk.isPoisoned(a.run())) {
				this.queue.after(Timing.POISON_DELAY, () -> poison(a, worker));
			}
		});
	}

	private void poison(Attempt a, String worker) {
		if (this.engines.decode(worker).holds(a.id())) {
			this.crashers.add(a.run());
			crash(worker);
		}
	}

	private void drop(Attempt a, String worker) {
		a.close();
		order(worker, () -> this.engines.prefill(worker).cancel(a.id()));
	}

	private void cancelTransfer(Attempt a, String worker) {
		a.nextTransfer();
		order(worker, () -> {
			this.engines.decode(worker).cancel(a.id());
			if (worker.equals(a.movingTo())) {
				a.moveTo(null);
				this.engines.prefill(a.prefillWorker()).abortTransfer(a.id());
			}
		});
	}

	private List<Attempt> cutTransfersFrom(String worker) {
		List<Attempt> cut = new ArrayList<>();
		for (Attempt a : this.attempts.values()) {
			String target = a.movingTo();
			if (target != null && a.prefillWorker().equals(worker)) {
				this.engines.decode(target).cancel(a.id());
				a.moveTo(null);
				cut.add(a);
			}
		}
		return cut;
	}

	private List<Attempt> cutTransfersTo(String worker) {
		for (Attempt a : this.attempts.values()) {
			if (worker.equals(a.movingTo())) {
				a.moveTo(null);
				a.nextTransfer();
				this.engines.prefill(a.prefillWorker()).abortTransfer(a.id());
			}
		}
		return List.of();
	}

	private void restart(String worker) {
		this.engines.restart(worker);
		if (!this.book.isLeaving(worker)) {
			tell(worker, new CellEvent.WorkerUp(this.book.worker(worker)));
		}
	}

	private void order(String worker, Runnable task) {
		this.queue.after(hop(worker), task);
	}

	private void tell(String worker, CellEvent event) {
		this.queue.after(hop(worker), () -> this.loop.deliver(event));
	}

	private void tell(Attempt a, String worker, CellEvent event) {
		this.queue.after(hop(worker), () -> {
			if (!a.isClosed()) {
				this.loop.deliver(event);
			}
		});
	}

	private void tellTransfer(Attempt a, int round, String worker, CellEvent event) {
		this.queue.after(hop(worker), () -> {
			if (a.isTransfer(round)) {
				this.loop.deliver(event);
			}
		});
	}

	private long hop(String worker) {
		return Timing.hop(this.hall, this.book.worker(worker).hall());
	}

	private final class PrefillEvents implements PrefillEngine.Listener {

		private final String worker;

		PrefillEvents(String worker) {
			this.worker = worker;
		}

		@Override
		public void prefillDone(long attempt, int computed) {
			Attempt a = ModelLane.this.attempts.get(attempt);
			a.compute(computed);
			tell(a, this.worker, new CellEvent.PrefillDone(attempt, computed));
		}

		@Override
		public void prefillAborted(long attempt, int computed) {
			ModelLane.this.attempts.get(attempt).compute(computed);
		}

		@Override
		public void cacheChanged(Prefix prefix, boolean stored) {
			ModelLane.this.reports.cacheChanged(this.worker, prefix, stored);
		}

	}

	private final class DecodeEvents implements DecodeEngine.Listener {

		private final String worker;

		DecodeEvents(String worker) {
			this.worker = worker;
		}

		@Override
		public void transferDone(long attempt) {
			Attempt a = ModelLane.this.attempts.get(attempt);
			a.moveTo(null);
			ModelLane.this.engines.prefill(a.prefillWorker()).cancel(attempt);
			int round = a.nextTransfer();
			String from = ModelLane.this.book.worker(a.prefillWorker()).hall();
			String to = ModelLane.this.book.worker(this.worker).hall();
			ModelLane.this.queue.after(Timing.hop(from, to),
					() -> tellTransfer(a, round, this.worker, new CellEvent.TransferDone(attempt)));
		}

		@Override
		public void token(long attempt, boolean last) {
			Attempt a = ModelLane.this.attempts.get(attempt);
			ModelLane.this.queue.after(hop(this.worker), () -> receive(a, last));
		}

		@Override
		public void stepDone(int batch, double ms) {
			ModelLane.this.reports.stepDone(this.worker, batch, ms);
		}

		private void receive(Attempt a, boolean last) {
			if (a.isClosed() || !a.run().isOpen()) {
				return;
			}
			ModelLane.this.desk.token(a.run(), a::reach);
			ModelLane.this.loop.deliver(new CellEvent.Tokens(a.id(), 1));
			if (last) {
				a.close();
				ModelLane.this.desk.answered(a.run());
				ModelLane.this.loop.deliver(new CellEvent.DecodeDone(a.id()));
			}
		}

	}

}
