package io.shallotspur.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.exc.EngineRefusedException;
import io.shallotspur.exc.InputException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.ledger.IntentKey;
import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.plain.PlainAction;
import io.shallotspur.plain.PlainEvent;
import io.shallotspur.plain.PlainScheduler;
import io.shallotspur.port.PlainReply;

/**
 * Carries out what the scheduler of one plain upstream decides. Thread-safe: the state is
 * confined to the thread of the loop.
 * <p>
 * Invariants: a call that may not be repeated is sent only while its intent is in the
 * ledger; once sent it is not cut off, even if its caller leaves, so that its answer can
 * be recorded; a caller is told "not run" only if no worker can have run the call.
 */
public final class PlainCallService {

	private final NodePorts ports;

	private final CellLoop<PlainEvent, PlainAction> loop;

	private final Map<String, PlainSession> sessions = new HashMap<>();

	private final Map<IntentKey, PlainSession> inFlight = new HashMap<>();

	private final Map<String, Worker> workers = new HashMap<>();

	private final AtomicInteger open = new AtomicInteger();

	/**
	 * Creates the service of an upstream.
	 * @param upstream the name of the upstream
	 * @param ports what it works through
	 * @param machine decides
	 * @param thread a scheduler of one thread, disposed with the service
	 */
	PlainCallService(String upstream, NodePorts ports, PlainScheduler machine, Scheduler thread) {
		this.ports = ports;
		this.loop = new CellLoop<>(upstream, thread, ports.clock(), machine::handle, machine::nextWake,
				new PlainEvent.Tick(), this::act);
	}

	/**
	 * Runs a call. Cancelling the subscription means that the caller is gone.
	 * @param task the call
	 * @return the answer; fails with {@link RefusedException}
	 */
	public Mono<PlainReply> submit(PlainTask task) {
		return Mono.create((sink) -> {
			this.open.incrementAndGet();
			sink.onDispose(this.open::decrementAndGet);
			this.loop.run(() -> enter(task, sink));
		});
	}

	/**
	 * Sets the workers of the upstream. Missing ones get no new calls.
	 * @param current the workers
	 */
	public void setWorkers(List<Worker> current) {
		this.loop.run(() -> {
			Set<String> ids = current.stream().map(Worker::id).collect(Collectors.toSet());
			List<String> missing = this.workers.keySet().stream().filter((id) -> !ids.contains(id)).toList();
			missing.forEach((id) -> this.loop.deliver(new PlainEvent.WorkerLeaving(id)));
			missing.forEach(this.workers::remove);
			for (Worker w : current) {
				if (!w.equals(this.workers.put(w.id(), w))) {
					this.loop.deliver(new PlainEvent.WorkerUp(w));
				}
			}
		});
	}

	/**
	 * Marks a worker as leaving.
	 * @param workerId the worker
	 */
	public void leaving(String workerId) {
		this.loop.submit(new PlainEvent.WorkerLeaving(workerId));
	}

	/**
	 * Puts contracts in force.
	 * @param contracts all contracts
	 */
	public void setContracts(ContractSet contracts) {
		this.loop.submit(new PlainEvent.ContractsChanged(contracts));
	}

	/**
	 * Returns how many callers wait, plus the calls that run on without one.
	 * @return the number
	 */
	public int openRequests() {
		return this.open.get();
	}

	/**
	 * Stops at once.
	 */
	public void close() {
		this.loop.run(this.loop::dispose);
	}

	private void enter(PlainTask task, MonoSink<PlainReply> sink) {
		PlainSession running = task.request().repeatable() ? null : this.inFlight.get(task.intentKey());
		if (running != null && running.task().bodyHash() != task.bodyHash()) {
			sink.error(RefusedException.notRun(RefusalCode.KEY_REUSED, "The key belongs to another call."));
			return;
		}
		PlainSession s = (running != null) ? running : new PlainSession(task);
		s.join(sink);
		sink.onCancel(() -> this.loop.run(() -> leave(s, sink)));
		if (running == null) {
			this.open.incrementAndGet();
			this.sessions.put(s.id(), s);
			if (!s.repeatable()) {
				this.inFlight.put(task.intentKey(), s);
			}
			this.loop.deliver(new PlainEvent.Submit(task.request()));
		}
	}

	private void leave(PlainSession s, MonoSink<PlainReply> sink) {
		if (s.leave(sink) && !s.ended() && (s.repeatable() || !s.dispatched())) {
			end(s);
			this.loop.deliver(new PlainEvent.CallerGone(s.id()));
		}
	}

	private void act(PlainAction action) {
		if (action instanceof PlainAction.StartCall a) {
			start(a);
		}
		else if (action instanceof PlainAction.CancelCall a) {
			cancel(a);
		}
		else if (action instanceof PlainAction.Refuse a) {
			refuse(a.requestId(), a.refusal());
		}
	}

	private void start(PlainAction.StartCall a) {
		PlainSession s = this.sessions.get(a.requestId());
		if (s == null) {
			return;
		}
		s.attempt(a.attempt());
		if (!s.needsIntent()) {
			dispatch(s, a);
			return;
		}
		this.ports.ledger()
			.begin(s.task().intentKey(), s.task().bodyHash(), now(), s.task().request().deadlineAt())
			.subscribe((d) -> this.loop.run(() -> decided(s, a, d)));
	}

	private void decided(PlainSession s, PlainAction.StartCall a, IntentDecision decision) {
		if (decision instanceof IntentDecision.Run) {
			// The caller may have left, or the deadline passed, while the intent was
			// written. It is taken back, so that a resend of the key can run.
			if (s.ended() || s.attempt() != a.attempt()) {
				this.ports.ledger().recordNotRun(s.task().intentKey(), now()).subscribe();
				return;
			}
			s.intentHeld(true);
			dispatch(s, a);
		}
		else if (!s.ended()) {
			endEarly(s, decision);
		}
	}

	private void endEarly(PlainSession s, IntentDecision decision) {
		if (decision instanceof IntentDecision.Answered d) {
			try {
				s.reply(StoredReply.read(d.answer()));
			}
			catch (InputException ex) {
				Logger.error("[node] {}", ex.getMessage());
				s.fail(new RefusedException(Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, ex.getMessage())));
			}
		}
		else if (decision instanceof IntentDecision.Refused d) {
			s.fail(new RefusedException(d.refusal()));
		}
		end(s);
		this.loop.deliver(new PlainEvent.CallerGone(s.id()));
	}

	private void dispatch(PlainSession s, PlainAction.StartCall a) {
		Mono<PlainReply> m = this.ports.worker(a.workerId())
			.flatMap((w) -> this.ports.service().call(w, s.task().call()));
		s.running(m.subscribe((r) -> this.loop.run(() -> answered(s, a.attempt(), r)),
				(ex) -> this.loop.run(() -> failed(s, a.attempt(), ex))));
	}

	private void answered(PlainSession s, long attempt, PlainReply reply) {
		s.running(null);
		if (s.intentHeld()) {
			this.ports.ledger().recordAnswer(s.task().intentKey(), StoredReply.write(reply), now()).subscribe();
		}
		if (!s.ended()) {
			s.reply(reply);
			this.loop.deliver(new PlainEvent.CallCompleted(attempt));
			end(s);
		}
		else {
			this.open.decrementAndGet();
		}
	}

	private void failed(PlainSession s, long attempt, Throwable ex) {
		s.running(null);
		Logger.debug("[node] Call {} failed: {}.", s.id(), ex.getMessage());
		boolean notRun = ex instanceof EngineRefusedException;
		if (s.ended()) {
			settle(s, notRun);
			this.open.decrementAndGet();
			return;
		}
		if (s.intentHeld() && !notRun) {
			settle(s, false);
		}
		this.loop.deliver(notRun ? new PlainEvent.CallNotRun(attempt) : new PlainEvent.CallOutcomeUnknown(attempt));
	}

	private void cancel(PlainAction.CancelCall a) {
		PlainSession s = this.sessions.get(a.requestId());
		if (s != null && s.repeatable()) {
			s.stop();
		}
	}

	private void refuse(String requestId, Refusal refusal) {
		PlainSession s = this.sessions.get(requestId);
		if (s == null || s.ended()) {
			return;
		}
		boolean mayRun = s.dispatched() && !s.repeatable();
		Refusal told = (mayRun && refusal.outcome() == Outcome.NOT_RUN)
				? Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, refusal.detail()) : refusal;
		if (s.intentHeld() && !mayRun) {
			settle(s, told.outcome() == Outcome.NOT_RUN);
		}
		s.fail(new RefusedException(told));
		end(s);
	}

	private void settle(PlainSession s, boolean notRun) {
		if (!s.intentHeld()) {
			return;
		}
		IntentKey k = s.task().intentKey();
		Mono<Void> m = notRun ? this.ports.ledger().recordNotRun(k, now()) : this.ports.ledger().recordUnknown(k, now());
		m.subscribe();
		s.intentHeld(false);
	}

	// A call that was sent and may not be repeated stays open, after its callers were
	// told, until the worker's answer is recorded: closing the VM before that would lose
	// the answer for every later resend.
	private void end(PlainSession s) {
		s.end();
		if (s.repeatable()) {
			s.stop();
		}
		if (!s.dispatched()) {
			this.open.decrementAndGet();
		}
		this.inFlight.remove(s.task().intentKey(), s);
		// The scheduler may yet name the call within the same event.
		this.loop.run(() -> this.sessions.remove(s.id()));
	}

	private long now() {
		return this.ports.clock().getAsLong();
	}

}
