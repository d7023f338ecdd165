package io.shallotspur.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.cell.CellAction;
import io.shallotspur.cell.CellEvent;
import io.shallotspur.cell.CellScheduler;
import io.shallotspur.cell.ModelRequest;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.exc.EngineLostException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.ledger.IntentKey;
import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.port.PrefillResult;
import io.shallotspur.resume.ResumeClaims;

/**
 * Carries out what the scheduler of one cell decides. Thread-safe: the state is confined
 * to the thread of the cell's loop; tokens pass from the engine to the caller without
 * touching that thread.
 * <p>
 * Invariants: every submitted request ends once; when its caller is gone, the engines are
 * told to drop all that they hold for it.
 */
public final class ModelService {

	/**
	 * How long after a stream broke its worker is asked whether it lives.
	 */
	static final Duration LOST_GRACE = Duration.ofMillis(40);

	/**
	 * A former owner that lives hears of a change of owner within about a second; one
	 * that was paused notices its pause before it admits anything.
	 */
	private static final long TAKEOVER_MS = 3000;

	private final String cell;

	private final NodePorts ports;

	private final CellLoop<CellEvent, CellAction> loop;

	private final TokenReports reports;

	private final WorkerWatch watch;

	private final Map<String, ModelSession> sessions = new HashMap<>();

	private final AttemptStreams attempts;

	private final AtomicInteger open = new AtomicInteger();

	/**
	 * Creates the service of a cell.
	 * @param cell the name of the cell
	 * @param ports what it works through
	 * @param machine decides
	 * @param thread a scheduler of one thread, disposed with the service
	 * @param streamBase added to the numbers of attempts to name streams; each cell of a
	 * node has its own
	 */
	ModelService(String cell, NodePorts ports, CellScheduler machine, Scheduler thread, long streamBase) {
		this.cell = cell;
		this.ports = ports;
		this.attempts = new AttemptStreams(ports, streamBase);
		this.loop = new CellLoop<>(cell, thread, ports.clock(), machine::handle, machine::nextWake,
				new CellEvent.Tick(), this::act);
		this.reports = new TokenReports(this.loop);
		this.watch = new WorkerWatch(ports.engine(), this.loop::submit);
	}

	/**
	 * Runs a request. Cancelling the subscription means that the caller is gone.
	 * @param call the request
	 * @return the answer; fails with {@link RefusedException}
	 */
	public Flux<AnswerPart> submit(ModelCall call) {
		return Flux.defer(() -> {
			ModelSession s = new ModelSession(call);
			this.open.incrementAndGet();
			this.loop.run(() -> {
				this.sessions.put(s.id(), s);
				this.loop.deliver(new CellEvent.Submit(call.request()));
			});
			return s.parts().doOnCancel(() -> this.loop.run(() -> gone(s)));
		});
	}

	/**
	 * Sets the workers of the cell. New ones are followed, missing ones get no new work.
	 * @param workers the workers
	 */
	public void setWorkers(List<Worker> workers) {
		this.loop.run(() -> this.watch.set(workers));
	}

	/**
	 * Takes the cell over from a former owner that may not have heard of it yet: for a
	 * while less is admitted, so that the two together do not overfill the engines.
	 */
	void takeOver() {
		this.loop.submit(new CellEvent.TakeoverStarted(this.ports.clock().getAsLong() + TAKEOVER_MS));
	}

	/**
	 * Marks a worker as leaving.
	 * @param workerId the worker
	 */
	public void leaving(String workerId) {
		this.loop.submit(new CellEvent.WorkerLeaving(workerId));
	}

	/**
	 * Puts contracts in force.
	 * @param contracts all contracts
	 */
	public void setContracts(ContractSet contracts) {
		this.loop.submit(new CellEvent.ContractsChanged(contracts));
	}

	/**
	 * Returns whether a request uses a stream.
	 * @param number the number of the stream within this incarnation of the VM
	 * @return whether one does
	 */
	boolean runs(long number) {
		return this.attempts.runs(number);
	}

	/**
	 * Returns how many requests have not ended.
	 * @return the number
	 */
	public int openRequests() {
		return this.open.get();
	}

	/**
	 * Stops at once.
	 */
	public void close() {
		this.loop.run(this.watch::close);
		this.loop.run(this.loop::dispose);
	}

	private void act(CellAction action) {
		if (action instanceof CellAction.StartPrefill a) {
			startPrefill(a);
		}
		else if (action instanceof CellAction.StartTransfer a) {
			startTransfer(a);
		}
		else if (action instanceof CellAction.StartDecode a) {
			startDecode(a);
		}
		else if (action instanceof CellAction.CancelPrefill a) {
			this.attempts.stop(a.attempt(), a.workerId());
		}
		else if (action instanceof CellAction.CancelTransfer a) {
			this.attempts.stop(a.attempt(), a.decodeWorkerId());
		}
		else if (action instanceof CellAction.CancelDecode a) {
			this.attempts.stop(a.attempt(), a.workerId());
		}
		else if (action instanceof CellAction.ReleaseKv a) {
			this.attempts.drop(a.attempt(), a.workerId());
		}
		else if (action instanceof CellAction.Refuse a) {
			refuse(a.requestId(), a.refusal());
		}
	}

	private void startPrefill(CellAction.StartPrefill p) {
		ModelSession s = this.sessions.get(p.requestId());
		if (s == null) {
			return;
		}
		s.attempts().forEach(this.attempts::giveUp);
		ModelAttempt a = this.attempts.open(s, p.attempt(), p.decodeWorkerId());
		if (s.needsIntent()) {
			recordIntent(a, p.prefillWorkerId());
		}
		else {
			prefill(a, p.prefillWorkerId());
		}
	}

	private void recordIntent(ModelAttempt a, String worker) {
		ModelSession s = a.session();
		long deadline = s.call().request().deadlineAt();
		IntentKey k = s.intentKey();
		this.ports.ledger()
			.begin(k, s.call().request().fingerprint(), now(), deadline)
			.subscribe((d) -> this.loop.run(() -> decided(a, worker, d)));
	}

	private void decided(ModelAttempt a, String worker, IntentDecision decision) {
		ModelSession s = a.session();
		if (decision instanceof IntentDecision.Run) {
			// The caller may have left, or the deadline passed, while the intent was
			// written. Dispatching now would run a request that nobody waits for.
			if (s.ended() || !this.attempts.has(a)) {
				this.ports.ledger().recordNotRun(s.intentKey(), now()).subscribe();
				return;
			}
			s.holdIntent();
			prefill(a, worker);
		}
		else if (!s.ended()) {
			endEarly(s, decision);
		}
	}

	private void endEarly(ModelSession s, IntentDecision decision) {
		if (decision instanceof IntentDecision.Answered d) {
			AnswerPart t = new AnswerPart.Token(0, new String(d.answer(), StandardCharsets.UTF_8));
			s.answer(Flux.just(new AnswerPart.Started(""), t));
			s.complete();
		}
		else if (decision instanceof IntentDecision.Refused d) {
			s.fail(new RefusedException(d.refusal()));
		}
		end(s);
		this.loop.deliver(new CellEvent.CallerGone(s.id()));
	}

	private void prefill(ModelAttempt a, String worker) {
		Mono<PrefillResult> m = this.ports.worker(worker)
			.flatMap((w) -> this.ports.engine()
				.prefill(w, a.streamId(), a.session().call().body(), a.session().textSoFar()));
		a.call(m.subscribe((r) -> this.loop.run(() -> prefillDone(a, r.computedTokens())),
				(ex) -> failed(ex, worker, new CellEvent.PrefillFailed(a.number()))));
	}

	private void startTransfer(CellAction.StartTransfer t) {
		ModelAttempt a = this.attempts.get(t.attempt());
		if (a == null) {
			return;
		}
		a.decodeWorker(t.decodeWorkerId());
		Mono<Void> m = Mono.zip(this.ports.worker(t.prefillWorkerId()), this.ports.worker(t.decodeWorkerId()))
			.flatMap((w) -> this.ports.engine().transfer(w.getT1(), w.getT2(), a.streamId()));
		a.call(m.subscribe((x) -> {
		}, (ex) -> failed(ex, t.decodeWorkerId(), new CellEvent.TransferFailed(a.number())),
				() -> this.loop.submit(new CellEvent.TransferDone(a.number()))));
	}

	private void startDecode(CellAction.StartDecode d) {
		ModelAttempt a = this.attempts.get(d.attempt());
		if (a != null) {
			a.decodeWorker(d.decodeWorkerId());
			a.session().answer(decode(a));
		}
	}

	private Flux<AnswerPart> decode(ModelAttempt a) {
		ModelCall c = a.session().call();
		ResumeClaims p = new ResumeClaims(c.request().customer(), a.decodeWorker(), a.streamId(), a.base(),
				c.contractRevision());
		AnswerPart started = new AnswerPart.Started(this.ports.resume().issue(p, now()));
		Flux<AnswerPart> tokens = this.ports.worker(a.decodeWorker())
			.flatMapMany((w) -> this.ports.engine().decode(w, a.streamId(), 0))
			.map((t) -> {
				this.reports.count(a);
				return a.relay(t);
			});
		return tokens.startWith(started).doOnComplete(() -> this.loop.run(() -> finished(a))).onErrorResume((ex) -> {
			failed(ex, a.decodeWorker(), new CellEvent.DecodeFailed(a.number()));
			return Mono.empty();
		}).takeUntilOther(a.stopped());
	}

	private void finished(ModelAttempt a) {
		ModelSession s = a.session();
		if (s.ended() || !this.attempts.has(a)) {
			return;
		}
		this.reports.flush(a);
		this.loop.deliver(new CellEvent.DecodeDone(a.number()));
		if (s.intentHeld()) {
			byte[] answer = s.textSoFar().getBytes(StandardCharsets.UTF_8);
			this.ports.ledger().recordAnswer(s.intentKey(), answer, now()).subscribe();
		}
		s.complete();
		end(s);
	}

	// When a worker dies, its streams and its reports break in any order. The scheduler
	// has to learn of the death first: it would take the crash for the fault of one
	// request, and send the request that caused it to the next worker.
	private void failed(Throwable ex, String worker, CellEvent event) {
		Logger.debug("[node] {}: {} ({}).", this.cell, event, ex.getMessage());
		if (!(ex instanceof EngineLostException)) {
			this.loop.submit(event);
			return;
		}
		this.ports.worker(worker)
			.flatMap((w) -> this.ports.engine().streams(w))
			.then()
			.onErrorResume((x) -> Mono.fromRunnable(() -> this.watch.lost(worker)))
			.delaySubscription(LOST_GRACE)
			.doFinally((x) -> this.loop.submit(event))
			.subscribe();
	}

	private void gone(ModelSession s) {
		if (s.ended()) {
			return;
		}
		if (s.intentHeld()) {
			this.ports.ledger().recordUnknown(s.intentKey(), now()).subscribe();
		}
		end(s);
		this.loop.deliver(new CellEvent.CallerGone(s.id()));
	}

	private void refuse(String requestId, Refusal refusal) {
		ModelSession s = this.sessions.get(requestId);
		if (s == null) {
			return;
		}
		if (s.intentHeld()) {
			Mono<Void> m = (refusal.outcome() == Outcome.NOT_RUN) ? this.ports.ledger().recordNotRun(s.intentKey(), now())
					: this.ports.ledger().recordUnknown(s.intentKey(), now());
			m.subscribe();
		}
		if (refusal.code() == RefusalCode.QUARANTINED) {
			Logger.warn("[quarantine] Request {} of {} in class {} crashes workers and is refused.",
					Long.toHexString(s.call().request().fingerprint()), s.call().request().customer(),
					s.call().request().className());
		}
		s.fail(new RefusedException(refusal));
		end(s);
	}

	private void prefillDone(ModelAttempt a, int computed) {
		a.session().prefilled(computed);
		this.loop.deliver(new CellEvent.PrefillDone(a.number(), computed));
	}

	private void end(ModelSession s) {
		s.end();
		ModelRequest r = s.call().request();
		if (s.prefill() > 0) {
			this.ports.prefills().prefilled(r.customer(), r.className(), s.prefill(), s.unsentPrefill(), now());
		}
		this.sessions.remove(s.id());
		this.open.decrementAndGet();
		// The scheduler may yet name the attempts to free what they hold, within the same
		// event.
		this.loop.run(() -> this.attempts.forget(s));
	}

	private long now() {
		return this.ports.clock().getAsLong();
	}

}
