package io.shallotspur.cell;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import io.shallotspur.admission.FairQueue;
import io.shallotspur.admission.TimerQueue;
import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.OutputLengthSamples;

/**
 * The scheduler of a cell. A prefill starts only when a decode slot is expected to be
 * free for it, on the worker where it is done first; what cannot meet its targets any
 * more is refused as not run.
 * <p>
 * Not thread-safe: events come one at a time, in order of {@code now}. Invariants: those
 * of {@link CellScheduler}; the slots reserved and held at each decode worker are those
 * of the requests in flight.
 */
public final class StdCellScheduler implements CellScheduler {

	private static final double UNKNOWN_SHARE = 0.01;

	private final CellSettings settings;

	private final CellFleet fleet;

	private final JobTable jobs = new JobTable();

	private final TimerQueue<Job> timers = new TimerQueue<>((j) -> j.stage == Stage.ENDED);

	private final FairQueue<Job> queue;

	private final JobFlow flow;

	private final OutputLengthSamples lengths;

	private final CrashSuspects crashes;

	private final CellObserver observer;

	private final CellSuspects suspects;

	private final CellDispatch dispatch;

	private ContractSet contracts;

	private ToDoubleFunction<String> shareFactor = (c) -> 1;

	private long recheckAt = Long.MAX_VALUE;

	/**
	 * Creates a scheduler without workers, with a table of crash suspects of its own.
	 * @param settings the settings
	 * @param contracts the contracts in force
	 * @param seed the seed of its randomness
	 */
	public StdCellScheduler(CellSettings settings, ContractSet contracts, long seed) {
		this(settings, contracts, seed, new CrashSuspects());
	}

	/**
	 * Creates a scheduler without workers.
	 * @param settings the settings
	 * @param contracts the contracts in force
	 * @param seed the seed of its randomness
	 * @param crashes finds the requests that crash workers; shared by the cells of a node
	 */
	public StdCellScheduler(CellSettings settings, ContractSet contracts, long seed, CrashSuspects crashes) {
		this.settings = settings;
		this.contracts = contracts;
		this.crashes = crashes;
		this.fleet = new CellFleet(settings);
		this.queue = new FairQueue<>(this::share);
		this.lengths = new OutputLengthSamples(settings.initialOutputTokens());
		this.flow = new JobFlow(settings, this.jobs, this.queue, this.timers, seed);
		this.observer = new CellObserver(this.fleet, this.jobs, this.flow, crashes);
		this.suspects = new CellSuspects(settings, crashes, this.flow);
		this.dispatch = new CellDispatch(settings, this.fleet, this.jobs, this.queue, this.flow);
	}

	@Override
	public void handle(CellEvent event, long now, Consumer<CellAction> out) {
		this.flow.emitTo(out);
		if (this.observer.take(event, now)) {
			return;
		}
		if (!onRequest(event, now) && !onAttempt(event, now)) {
			onFleet(event, now);
		}
		this.fleet.expireLimit(now);
		runTimers(now);
		startTransfers(now);
		this.recheckAt = this.dispatch.run(now);
	}

	@Override
	public long nextWake(long now) {
		return Math.max(now, Math.min(this.recheckAt, this.timers.nextDueAt()));
	}

	/**
	 * Returns how many requests the cell holds, waiting and in flight.
	 * @return the number of requests
	 */
	public int activeRequestCount() {
		return this.jobs.size();
	}

	/**
	 * Sets the factor by which a customer's share counts in this cell, for a customer
	 * that several cells serve. It is asked whenever the customer is charged.
	 * @param factor gives a number over 0 and at most 1 for a customer
	 */
	public void setShareFactor(ToDoubleFunction<String> factor) {
		this.shareFactor = factor;
	}

	/**
	 * Bounds what this cell admits, because its former owner may still admit work too.
	 * While both do, each decode worker is sent at most
	 * {@link CellSettings#takeoverSlots} requests by this owner, and each prefill worker
	 * one prompt, beyond what the former owner sends; what load reports show of the
	 * former owner's work is kept free besides.
	 * @param until when the former owner has surely stopped, in milliseconds
	 */
	public void beginTakeover(long until) {
		this.fleet.limitSlots(this.settings.takeoverSlots(), until);
	}

	/**
	 * Lifts the bound of {@link #beginTakeover}, because the former owner is known to
	 * have left.
	 */
	public void endTakeover() {
		this.fleet.limitSlots(Integer.MAX_VALUE, 0);
	}

	private boolean onRequest(CellEvent event, long now) {
		if (event instanceof CellEvent.Submit e) {
			submit(e.request(), now);
		}
		else if (event instanceof CellEvent.CallerGone e) {
			Job j = this.jobs.byId(e.requestId());
			if (j != null) {
				this.flow.abandon(j, now);
			}
		}
		else {
			return false;
		}
		return true;
	}

	private void submit(ModelRequest r, long now) {
		Job j = new Job(r, this.settings.isEnabled(CellFeature.FAIR_QUEUEING) ? r.customer() : "",
				this.lengths.sampleFor(r.customer(), r.className()), this.jobs.nextSequence());
		this.suspects.mark(j, now);
		if (this.crashes.isQuarantined(r.fingerprint(), now)) {
			this.flow.refuse(j, RefusalCode.QUARANTINED, "The request crashed workers before.", 0, now);
		}
		else if (!this.fleet.takesWork()) {
			this.flow.refuse(j, RefusalCode.NO_WORKER, "No worker takes new work.", 1000, now);
		}
		else if (this.queue.size() >= this.settings.queueLimit()) {
			this.flow.refuse(j, RefusalCode.QUEUE_FULL, "The queue is full.", 1000, now);
		}
		else {
			this.fleet.prompt(r.prefixBlocks());
			this.flow.submit(j, now);
			checkFeasible(j, now);
		}
	}

	private boolean onAttempt(CellEvent event, long now) {
		if (event instanceof CellEvent.PrefillDone e) {
			with(e.attempt(), Stage.PREFILLING, (j) -> this.flow.prefillDone(j, e.computedTokens(), now));
		}
		else if (event instanceof CellEvent.PrefillFailed e) {
			with(e.attempt(), Stage.PREFILLING, (j) -> this.flow.retry(j, RefusalCode.WORKER_LOST, now));
		}
		else if (event instanceof CellEvent.TransferDone e) {
			with(e.attempt(), Stage.TRANSFERRING, (j) -> this.flow.startDecode(j, now));
		}
		else if (event instanceof CellEvent.TransferFailed e) {
			with(e.attempt(), Stage.TRANSFERRING, (j) -> this.flow.retry(j, RefusalCode.WORKER_LOST, now));
		}
		else if (event instanceof CellEvent.DecodeDone e) {
			with(e.attempt(), Stage.DECODING, (j) -> decodeDone(j, now));
		}
		else if (event instanceof CellEvent.DecodeFailed e) {
			with(e.attempt(), Stage.DECODING, (j) -> this.flow.retry(j, RefusalCode.WORKER_LOST, now));
		}
		else {
			return false;
		}
		return true;
	}

	private void with(long attempt, Stage stage, Consumer<Job> step) {
		// A late answer of an attempt that was given up finds no request and is dropped.
		Job j = this.jobs.byAttempt(attempt, stage);
		if (j != null) {
			step.accept(j);
		}
	}

	private void decodeDone(Job j, long now) {
		this.lengths.observe(j.customer(), j.request.className(), j.generated);
		this.crashes.recordCompletion(j.request.fingerprint(), now);
		this.flow.complete(j, now);
	}

	private void onFleet(CellEvent event, long now) {
		if (event instanceof CellEvent.WorkerUp e) {
			if (this.fleet.knows(e.worker().id())) {
				workerDown(e.worker().id(), now);
			}
			this.fleet.add(e.worker());
		}
		else if (event instanceof CellEvent.WorkerDown e) {
			workerDown(e.workerId(), now);
		}
		else if (event instanceof CellEvent.WorkerLeaving e) {
			this.fleet.leave(e.workerId());
		}
		else if (event instanceof CellEvent.TakeoverStarted e) {
			beginTakeover(e.exclusiveFrom());
		}
		else if (event instanceof CellEvent.ContractsChanged e) {
			this.contracts = e.contracts();
		}
	}

	private void workerDown(String id, long now) {
		List<Job> reading = this.jobs.inFlight((j) -> j.prefill != null && j.prefill.id().equals(id));
		List<Job> onDecode = this.jobs.inFlight((j) -> j.decode != null && j.decode.id().equals(id));
		this.fleet.remove(id);
		this.suspects.crashed(id, onDecode, now);
		for (Job j : reading) {
			this.flow.lostPrefill(j);
			this.flow.retry(j, RefusalCode.WORKER_LOST, now);
		}
		for (Job j : onDecode) {
			if (j.stage == Stage.DECODING) {
				lostDecode(j, now);
			}
			else if (j.stage == Stage.TRANSFERRING) {
				this.flow.transferAgain(j, now);
			}
			else if (j.inFlight()) {
				this.flow.lostDecode(j, now);
			}
		}
	}

	private void lostDecode(Job j, long now) {
		this.flow.lostDecode(j, now);
		if (this.crashes.isQuarantined(j.request.fingerprint(), now)) {
			this.flow.refuse(j, RefusalCode.QUARANTINED, "The request crashes the workers that run it.", 0, now);
		}
		else {
			this.suspects.mark(j, now);
			this.flow.retry(j, RefusalCode.WORKER_LOST, now);
		}
	}

	private void runTimers(long now) {
		Job j = this.timers.poll(now);
		while (j != null) {
			onTimer(j, now);
			j = this.timers.poll(now);
		}
	}

	private void onTimer(Job j, long now) {
		DecodeWorker d = j.decode;
		if (now >= j.request.deadlineAt()) {
			this.flow.refuse(j, RefusalCode.DEADLINE_PASSED, "The deadline has passed.", 0, now);
		}
		else if (j.stage == Stage.QUEUED) {
			checkFeasible(j, now);
		}
		else if (j.stage == Stage.KV_READY && now >= j.kvUntil) {
			this.flow.retry(j, RefusalCode.DEADLINE_INFEASIBLE, now);
		}
		else if (j.stage == Stage.TRANSFERRING && d != null) {
			if (now >= this.flow.stallAt(d)) {
				d.recordStall(now);
				this.flow.transferAgain(j, now);
			}
			else {
				this.timers.add(j, this.flow.stallAt(d));
			}
		}
	}

	private void checkFeasible(Job j, long now) {
		if (!this.settings.isEnabled(CellFeature.EARLY_REFUSAL)) {
			return;
		}
		Placer p = new Placer(this.fleet, this.settings, 0, now);
		double latest = this.dispatch.firstTokenBy(j) - p.leastMs(j);
		if (now <= latest) {
			this.timers.add(j, (long) latest + 1);
			return;
		}
		Placement late = this.dispatch.placeLate(j, p);
		if (late != null && this.dispatch.sparesRoom(late, this.dispatch.forecast(now), now)) {
			this.flow.startPrefill(j, late, now);
		}
		else {
			this.flow.refuse(j, RefusalCode.DEADLINE_INFEASIBLE, "The targets cannot be met at the present load.", 1000,
					now);
		}
	}

	private void startTransfers(long now) {
		for (Job j : this.jobs.kvReady()) {
			boolean urgent = now >= j.kvUntil - JobFlow.KV_URGENT_MS;
			DecodeWorker d = new Placer(this.fleet, this.settings, 0, now).transferTarget(j, urgent);
			if (d != null) {
				this.flow.startTransfer(j, d, now);
			}
		}
	}

	private double share(String customer) {
		double share = this.contracts.find(customer).map(Contract::share).orElse(UNKNOWN_SHARE);
		return share * this.shareFactor.applyAsDouble(customer);
	}

}
