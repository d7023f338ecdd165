package io.shallotspur.plain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import io.shallotspur.admission.FairQueue;
import io.shallotspur.admission.TimerQueue;
import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.retry.OutlierDetector;
import io.shallotspur.retry.RetryBudget;
import io.shallotspur.retry.RetryBudgetSettings;
import io.shallotspur.retry.WorkerHealth;

/**
 * The scheduler of a plain upstream. Calls are queued here rather than inside a worker,
 * so that an urgent call can overtake all others; the number of concurrent calls per
 * worker is limited according to its latency.
 * <p>
 * Not thread-safe: events are delivered one at a time, in order of {@code now}.
 * Invariants: those of {@link PlainScheduler}.
 */
public final class StdPlainScheduler implements PlainScheduler {

	private static final double UNKNOWN_CUSTOMER_SHARE = 0.01;

	private static final long RETRY_AFTER_MS = 500;

	private static final long RETRY_WINDOW_MS = 10_000;

	private static final int MAX_CUSTOMERS = 65_536;

	private final PlainSettings settings;

	private final Map<String, PlainWorker> workers = new LinkedHashMap<>();

	private final Map<String, CallState> callsById = new HashMap<>();

	private final Map<Long, CallState> callsByAttempt = new LinkedHashMap<>();

	private final FairQueue<CallState> queue;

	private final TimerQueue<CallState> timers = new TimerQueue<>((call) -> call.ended);

	private final RetryBudget retryBudget;

	private final OutlierDetector outlierDetector = new OutlierDetector();

	private ContractSet contracts;

	private Consumer<PlainAction> out = (action) -> {
	};

	private long lastSequence;

	private long lastAttemptId;

	/**
	 * Creates a scheduler without workers.
	 * @param settings the settings
	 * @param contracts the contracts in force
	 * @param seed the random seed; reserved for randomized implementations and not used
	 * at present
	 */
	public StdPlainScheduler(PlainSettings settings, ContractSet contracts, long seed) {
		this.settings = settings;
		this.contracts = contracts;
		this.queue = new FairQueue<>(this::share);
		this.retryBudget = new RetryBudget(
				new RetryBudgetSettings(settings.retryRatio(), settings.minRetries(), RETRY_WINDOW_MS, MAX_CUSTOMERS));
	}

	@Override
	public void handle(PlainEvent event, long now, Consumer<PlainAction> out) {
		this.out = out;
		if (!handleCallEvent(event, now)) {
			handleFleetEvent(event, now);
		}
		runTimers(now);
		dispatch(now);
	}

	@Override
	public long nextWake(long now) {
		return Math.max(now, this.timers.nextDueAt());
	}

	/**
	 * Returns the number of calls that are queued or running.
	 * @return the number of calls
	 */
	public int activeCallCount() {
		return this.callsById.size();
	}

	private boolean handleCallEvent(PlainEvent event, long now) {
		if (event instanceof PlainEvent.Submit e) {
			submit(e.request(), now);
		}
		else if (event instanceof PlainEvent.CallerGone e) {
			onCallerGone(this.callsById.get(e.requestId()));
		}
		else if (event instanceof PlainEvent.CallCompleted e) {
			onCallCompleted(this.callsByAttempt.get(e.attempt()), now);
		}
		else if (event instanceof PlainEvent.CallNotRun e) {
			onAttemptFailed(this.callsByAttempt.get(e.attempt()), false, now);
		}
		else if (event instanceof PlainEvent.CallOutcomeUnknown e) {
			onAttemptFailed(this.callsByAttempt.get(e.attempt()), true, now);
		}
		else {
			return false;
		}
		return true;
	}

	private void handleFleetEvent(PlainEvent event, long now) {
		if (event instanceof PlainEvent.WorkerUp e) {
			removeWorker(e.worker().id(), now);
			this.workers.put(e.worker().id(), new PlainWorker(e.worker(), this.settings));
			this.outlierDetector.addWorker(e.worker().id());
		}
		else if (event instanceof PlainEvent.WorkerDown e) {
			removeWorker(e.workerId(), now);
		}
		else if (event instanceof PlainEvent.WorkerLeaving e) {
			PlainWorker worker = this.workers.get(e.workerId());
			if (worker != null) {
				worker.drain();
			}
		}
		else if (event instanceof PlainEvent.ContractsChanged e) {
			this.contracts = e.contracts();
		}
	}

	private void submit(PlainRequest request, long now) {
		CallState call = new CallState(request, ++this.lastSequence);
		if (this.workers.values().stream().allMatch(PlainWorker::draining)) {
			refuse(call, RefusalCode.NO_WORKER, "No worker accepts new calls.");
		}
		else if (this.queue.size() >= this.settings.queueLimit()) {
			refuse(call, RefusalCode.QUEUE_FULL, "The queue is full.");
		}
		else {
			this.retryBudget.recordFirstAttempt(request.customer(), now);
			this.callsById.put(request.id(), call);
			this.queue.add(call);
			this.timers.add(call, latestStart(call));
			this.timers.add(call, request.deadlineAt());
		}
	}

	private void onCallerGone(@Nullable CallState call) {
		if (call != null) {
			cancel(call);
			end(call);
		}
	}

	private void onCallCompleted(@Nullable CallState call, long now) {
		if (call == null) {
			return;
		}
		PlainWorker worker = call.worker;
		if (worker != null) {
			double latencyMs = now - call.startedAt;
			this.queue.charge(call.flow(), latencyMs - worker.averageMs());
			worker.attemptCompleted(latencyMs);
			this.outlierDetector.recordSuccess(worker.id(), latencyMs, now);
		}
		call.worker = null;
		end(call);
	}

	private void onAttemptFailed(@Nullable CallState call, boolean mayHaveRun, long now) {
		if (call == null) {
			return;
		}
		call.mayHaveRun |= mayHaveRun;
		if (call.worker != null) {
			this.outlierDetector.recordFailure(call.worker.id(), now);
		}
		releaseWorker(call);
		if (call.mayHaveRun && !call.request.repeatable()) {
			refuse(call, RefusalCode.OUTCOME_UNKNOWN, "The response was lost; the call may have run.");
		}
		else if (call.attemptCount >= this.settings.maxAttempts() || now > latestStart(call)) {
			refuse(call, RefusalCode.WORKER_LOST, "The call failed and cannot be retried within its limits.");
		}
		else if (!this.retryBudget.tryRetry(call.flow(), now)) {
			refuse(call, RefusalCode.RETRY_BUDGET, "The retry budget of the customer is exhausted.");
		}
		else {
			this.queue.add(call);
			this.timers.add(call, latestStart(call));
		}
	}

	private void removeWorker(String id, long now) {
		if (this.workers.remove(id) == null) {
			return;
		}
		this.outlierDetector.removeWorker(id);
		List<CallState> lost = new ArrayList<>();
		for (CallState call : this.callsByAttempt.values()) {
			if (call.worker != null && call.worker.id().equals(id)) {
				lost.add(call);
			}
		}
		lost.forEach((call) -> onAttemptFailed(call, true, now));
	}

	private void runTimers(long now) {
		CallState call = this.timers.poll(now);
		while (call != null) {
			onTimer(call, now);
			call = this.timers.poll(now);
		}
	}

	private void onTimer(CallState call, long now) {
		if (now >= call.request.deadlineAt()) {
			call.mayHaveRun |= call.worker != null;
			cancel(call);
			refuse(call, RefusalCode.DEADLINE_PASSED, "The deadline has passed.");
		}
		else if (call.worker == null && now > latestStart(call)) {
			refuse(call, RefusalCode.DEADLINE_INFEASIBLE, "The latency target cannot be met at the current load.");
		}
		else if (call.worker == null) {
			this.timers.add(call, Math.max(now, latestStart(call)) + 1);
		}
	}

	private void dispatch(long now) {
		PlainWorker worker = leastLoaded(now);
		while (worker != null && this.queue.size() > 0) {
			CallState call = this.queue.findNext(this.settings.lookahead(), (candidate) -> true);
			if (call == null) {
				return;
			}
			if (now > latestStart(call)) {
				refuse(call, RefusalCode.DEADLINE_INFEASIBLE, "The latency target cannot be met at the current load.");
				continue;
			}
			start(call, worker, now);
			worker = leastLoaded(now);
		}
	}

	private void start(CallState call, PlainWorker worker, long now) {
		this.queue.dispatch(call, worker.averageMs());
		call.attemptId = ++this.lastAttemptId;
		call.attemptCount++;
		call.startedAt = now;
		call.worker = worker;
		worker.attemptStarted();
		this.outlierDetector.recordStart(worker.id(), now);
		this.callsByAttempt.put(call.attemptId, call);
		this.out.accept(new PlainAction.StartCall(call.request.id(), call.attemptId, worker.id()));
	}

	private void cancel(CallState call) {
		PlainWorker worker = call.worker;
		if (worker != null) {
			this.out.accept(new PlainAction.CancelCall(call.request.id(), call.attemptId, worker.id()));
		}
		releaseWorker(call);
	}

	private void refuse(CallState call, RefusalCode code, String detail) {
		end(call);
		Refusal refusal = call.mayHaveRun ? Refusal.outcomeUnknown(code, detail)
				: Refusal.notRun(code, detail, RETRY_AFTER_MS);
		this.out.accept(new PlainAction.Refuse(call.request.id(), refusal));
	}

	private void end(CallState call) {
		releaseWorker(call);
		this.queue.remove(call);
		call.ended = true;
		this.callsById.remove(call.request.id(), call);
	}

	private void releaseWorker(CallState call) {
		if (call.worker != null) {
			call.worker.attemptAborted();
			call.worker = null;
		}
		this.callsByAttempt.remove(call.attemptId);
	}

	private long latestStart(CallState call) {
		double minAverageMs = Double.MAX_VALUE;
		for (PlainWorker worker : this.workers.values()) {
			minAverageMs = Math.min(minAverageMs, worker.averageMs());
		}
		return call.dueAt() - ((minAverageMs == Double.MAX_VALUE) ? 0 : (long) minAverageMs);
	}

	private @Nullable PlainWorker leastLoaded(long now) {
		PlainWorker best = null;
		for (PlainWorker worker : this.workers.values()) {
			boolean eligible = this.outlierDetector.health(worker.id(), now) != WorkerHealth.EJECTED;
			if (eligible && worker.hasCapacity() && (best == null || worker.load() < best.load())) {
				best = worker;
			}
		}
		return best;
	}

	private double share(String customer) {
		return this.contracts.find(customer).map(Contract::share).orElse(UNKNOWN_CUSTOMER_SHARE);
	}

}
