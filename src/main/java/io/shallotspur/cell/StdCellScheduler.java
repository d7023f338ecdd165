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
 * The default scheduler of a cell. A prefill starts only when a decode slot is expected
 * to be free for it, on the worker where it finishes first. Requests that can no longer
 * meet their targets are refused without being run.
 * <p>
 * Not thread-safe: events are delivered one at a time, in order of {@code now}.
 * Invariants: those of {@link CellScheduler}; the slots reserved and held on each decode
 * worker are exactly those of the requests in flight.
 */
public final class StdCellScheduler implements CellScheduler {

	private static final double UNKNOWN_CUSTOMER_SHARE = 0.01;

	private final CellSettings settings;

	private final CellFleet fleet;

	private final JobTable jobs = new JobTable();

	private final TimerQueue<Job> timers = new TimerQueue<>((j) -> j.stage == JobStage.ENDED);

	private final FairQueue<Job> queue;

	private final JobLifecycle lifecycle;

	private final OutputLengthSamples outputLengths;

	private final CrashSuspects crashSuspects;

	private final CellReportHandler reportHandler;

	private final CrashIsolation crashIsolation;

	private final CellDispatcher dispatcher;

	private ContractSet contracts;

	private ToDoubleFunction<String> shareFactor = (c) -> 1;

	private long recheckAt = Long.MAX_VALUE;

	/**
	 * Creates a scheduler without workers, with its own table of crash suspects.
	 * @param settings the settings
	 * @param contracts the contracts in force
	 * @param seed the seed of the random number generator
	 */
	public StdCellScheduler(CellSettings settings, ContractSet contracts, long seed) {
		this(settings, contracts, seed, new CrashSuspects());
	}

	/**
	 * Creates a scheduler without workers.
	 * @param settings the settings
	 * @param contracts the contracts in force
	 * @param seed the seed of the random number generator
	 * @param crashSuspects identifies the requests that crash workers; shared by the
	 * cells of a node
	 */
	public StdCellScheduler(CellSettings settings, ContractSet contracts, long seed, CrashSuspects crashSuspects) {
		this.settings = settings;
		this.contracts = contracts;
		this.crashSuspects = crashSuspects;
		this.fleet = new CellFleet(settings);
		this.queue = new FairQueue<>(this::weightOf);
		this.outputLengths = new OutputLengthSamples(settings.initialOutputTokens());
		this.lifecycle = new JobLifecycle(settings, this.jobs, this.queue, this.timers, seed);
		this.reportHandler = new CellReportHandler(this.fleet, this.jobs, this.lifecycle, crashSuspects);
		this.crashIsolation = new CrashIsolation(settings, crashSuspects, this.lifecycle);
		this.dispatcher = new CellDispatcher(settings, this.fleet, this.jobs, this.queue, this.lifecycle);
	}

	@Override
	public void handle(CellEvent event, long now, Consumer<CellAction> out) {
		this.lifecycle.setActionSink(out);
		if (this.reportHandler.handle(event, now)) {
			return;
		}
		if (!handleRequestEvent(event, now) && !handleAttemptEvent(event, now)) {
			handleFleetEvent(event, now);
		}
		this.fleet.expireSlotLimit(now);
		runTimers(now);
		startTransfers(now);
		this.recheckAt = this.dispatcher.dispatch(now);
	}

	@Override
	public long nextWake(long now) {
		return Math.max(now, Math.min(this.recheckAt, this.timers.nextDueAt()));
	}

	/**
	 * Returns the number of requests in the cell, queued and in flight.
	 * @return the number of requests
	 */
	public int activeRequestCount() {
		return this.jobs.size();
	}

	/**
	 * Sets the factor by which a customer's share is multiplied in this cell, for
	 * customers that several cells serve. The function is called whenever a customer is
	 * charged.
	 * @param factor returns a number greater than 0 and at most 1 for a customer
	 */
	public void setShareFactor(ToDoubleFunction<String> factor) {
		this.shareFactor = factor;
	}

	/**
	 * Limits admission to this cell while its former owner may still admit requests.
	 * Until then this owner sends at most {@link CellSettings#takeoverSlots} requests to
	 * each decode worker, and one prompt at a time to each prefill worker, in addition to
	 * those of the former owner. Slots that load reports attribute to the former owner
	 * are also kept free.
	 * @param exclusiveFrom when the former owner has certainly stopped admitting, in
	 * milliseconds
	 */
	public void beginTakeover(long exclusiveFrom) {
		this.fleet.limitSlots(this.settings.takeoverSlots(), exclusiveFrom);
	}

	/**
	 * Removes the limit of {@link #beginTakeover} once the former owner is known to have
	 * stopped.
	 */
	public void endTakeover() {
		this.fleet.limitSlots(Integer.MAX_VALUE, 0);
	}

	private boolean handleRequestEvent(CellEvent event, long now) {
		if (event instanceof CellEvent.Submit e) {
			submit(e.request(), now);
		}
		else if (event instanceof CellEvent.CallerGone e) {
			Job j = this.jobs.findById(e.requestId());
			if (j != null) {
				this.crashIsolation.recordCancellation(j, now);
				this.lifecycle.abort(j, now);
			}
		}
		else {
			return false;
		}
		return true;
	}

	private void submit(ModelRequest request, long now) {
		Job j = new Job(request, this.settings.isEnabled(CellFeature.FAIR_QUEUEING) ? request.customer() : "",
				this.outputLengths.sampleFor(request.customer(), request.className()), this.jobs.nextSequence());
		this.crashIsolation.updateSuspicion(j, now);
		if (this.crashSuspects.isQuarantined(request.fingerprint(), now)) {
			this.lifecycle.refuse(j, RefusalCode.QUARANTINED, "The request is quarantined because it crashed workers.",
					0, now);
		}
		else if (!this.fleet.acceptsWork()) {
			this.lifecycle.refuse(j, RefusalCode.NO_WORKER,
					"No prefill worker or no decode worker accepts new requests.", 1000, now);
		}
		else if (this.queue.size() >= this.settings.queueLimit()) {
			this.lifecycle.refuse(j, RefusalCode.QUEUE_FULL, "The request queue of the cell is full.", 1000, now);
		}
		else {
			this.fleet.recordPrompt(request.prefixBlocks());
			this.lifecycle.submit(j, now);
			checkFeasibility(j, now);
		}
	}

	private boolean handleAttemptEvent(CellEvent event, long now) {
		if (event instanceof CellEvent.PrefillDone e) {
			withAttempt(e.attempt(), JobStage.PREFILLING,
					(j) -> this.lifecycle.onPrefillDone(j, e.computedTokens(), now));
		}
		else if (event instanceof CellEvent.PrefillFailed e) {
			withAttempt(e.attempt(), JobStage.PREFILLING, (j) -> this.lifecycle.retry(j, RefusalCode.WORKER_LOST, now));
		}
		else if (event instanceof CellEvent.TransferDone e) {
			withAttempt(e.attempt(), JobStage.TRANSFERRING, (j) -> this.lifecycle.startDecode(j, now));
		}
		else if (event instanceof CellEvent.TransferFailed e) {
			withAttempt(e.attempt(), JobStage.TRANSFERRING,
					(j) -> this.lifecycle.retry(j, RefusalCode.WORKER_LOST, now));
		}
		else if (event instanceof CellEvent.DecodeDone e) {
			withAttempt(e.attempt(), JobStage.DECODING, (j) -> onDecodeDone(j, now));
		}
		else if (event instanceof CellEvent.DecodeFailed e) {
			withAttempt(e.attempt(), JobStage.DECODING, (j) -> this.lifecycle.retry(j, RefusalCode.WORKER_LOST, now));
		}
		else {
			return false;
		}
		return true;
	}

	private void withAttempt(long attemptId, JobStage stage, Consumer<Job> step) {
		// Late events of an attempt that was cancelled match no request and are ignored.
		Job j = this.jobs.findByAttempt(attemptId, stage);
		if (j != null) {
			step.accept(j);
		}
	}

	private void onDecodeDone(Job j, long now) {
		this.outputLengths.observe(j.customer(), j.request.className(), j.generatedTokens);
		this.crashSuspects.recordCompletion(j.request.fingerprint(), now);
		this.lifecycle.complete(j, now);
	}

	private void handleFleetEvent(CellEvent event, long now) {
		if (event instanceof CellEvent.WorkerUp e) {
			if (this.fleet.contains(e.worker().id())) {
				removeWorker(e.worker().id(), now);
			}
			this.fleet.add(e.worker());
		}
		else if (event instanceof CellEvent.WorkerDown e) {
			removeWorker(e.workerId(), now);
		}
		else if (event instanceof CellEvent.WorkerLeaving e) {
			this.fleet.drain(e.workerId());
		}
		else if (event instanceof CellEvent.TakeoverStarted e) {
			beginTakeover(e.exclusiveFrom());
		}
		else if (event instanceof CellEvent.ContractsChanged e) {
			this.contracts = e.contracts();
		}
	}

	private void removeWorker(String id, long now) {
		List<Job> prefillJobs = this.jobs
			.inFlightJobs((j) -> j.prefillWorker != null && j.prefillWorker.id().equals(id));
		List<Job> decodeJobs = this.jobs.inFlightJobs((j) -> j.decodeWorker != null && j.decodeWorker.id().equals(id));
		this.fleet.remove(id);
		this.crashIsolation.recordCrash(id, decodeJobs, now);
		for (Job j : prefillJobs) {
			this.lifecycle.markPrefillWorkerLost(j);
			this.lifecycle.retry(j, RefusalCode.WORKER_LOST, now);
		}
		for (Job j : decodeJobs) {
			if (j.stage == JobStage.DECODING) {
				onDecodeLost(j, now);
			}
			else if (j.stage == JobStage.TRANSFERRING) {
				this.lifecycle.abortTransfer(j, now);
			}
			else if (j.isInFlight()) {
				this.lifecycle.releaseDecodeWorker(j, now);
			}
		}
	}

	private void onDecodeLost(Job j, long now) {
		this.lifecycle.releaseDecodeWorker(j, now);
		if (this.crashSuspects.isQuarantined(j.request.fingerprint(), now)) {
			this.lifecycle.refuse(j, RefusalCode.QUARANTINED,
					"The request was quarantined after repeated worker crashes.", 0, now);
		}
		else {
			this.crashIsolation.updateSuspicion(j, now);
			this.lifecycle.retry(j, RefusalCode.WORKER_LOST, now);
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
		DecodeWorker d = j.decodeWorker;
		if (now >= j.request.deadlineAt()) {
			this.crashIsolation.recordCancellation(j, now);
			this.lifecycle.refuse(j, RefusalCode.DEADLINE_PASSED, "The deadline of the request has passed.", 0, now);
		}
		else if (j.stage == JobStage.QUEUED) {
			checkFeasibility(j, now);
		}
		else if (j.stage == JobStage.KV_READY && now >= j.kvUsableUntil) {
			this.lifecycle.retry(j, RefusalCode.DEADLINE_INFEASIBLE, now);
		}
		else if (j.stage == JobStage.TRANSFERRING && d != null) {
			if (now >= this.lifecycle.stallDeadline(d)) {
				d.recordStall(now);
				this.lifecycle.abortTransfer(j, now);
			}
			else {
				this.timers.add(j, this.lifecycle.stallDeadline(d));
			}
		}
	}

	private void checkFeasibility(Job j, long now) {
		if (!this.settings.isEnabled(CellFeature.EARLY_REFUSAL)) {
			return;
		}
		PlacementSelector selector = new PlacementSelector(this.fleet, this.settings, 0, now);
		double latestStart = this.dispatcher.firstTokenDeadline(j) - selector.minTimeToFirstTokenMs(j);
		if (now <= latestStart) {
			this.timers.add(j, (long) latestStart + 1);
			return;
		}
		Placement warmUp = this.dispatcher.placeForWarmUp(j, selector);
		if (warmUp != null && this.dispatcher.hasSlotReserve(warmUp, this.dispatcher.forecastSlots(now), now)) {
			this.lifecycle.startPrefill(j, warmUp, now);
		}
		else {
			this.lifecycle.refuse(j, RefusalCode.DEADLINE_INFEASIBLE,
					"The latency targets cannot be met at the current load.", 1000, now);
		}
	}

	private void startTransfers(long now) {
		for (Job j : this.jobs.kvReadyJobs()) {
			boolean urgent = now >= j.kvUsableUntil - JobLifecycle.KV_URGENT_BEFORE_EXPIRY_MS;
			DecodeWorker d = new PlacementSelector(this.fleet, this.settings, 0, now).selectTransferTarget(j, urgent);
			if (d != null) {
				this.lifecycle.startTransfer(j, d, now);
			}
		}
	}

	private double weightOf(String customer) {
		double share = this.contracts.find(customer).map(Contract::share).orElse(UNKNOWN_CUSTOMER_SHARE);
		return share * this.shareFactor.applyAsDouble(customer);
	}

}
