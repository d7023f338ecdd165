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
 * The scheduler of a plain upstream. Calls wait here rather than inside a worker, so that
 * an urgent one passes all others; each worker gets as many at a time as its latency
 * bears.
 * <p>
 * Not thread-safe: events come one at a time, in order of {@code now}. Invariants: those
 * of {@link PlainScheduler}.
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

	private final TimerQueue<CallState> timers = new TimerQueue<>((c) -> c.ended);

	private final RetryBudget retryBudget;

	private final OutlierDetector outlierDetector = new OutlierDetector();

	private ContractSet contracts;

	private Consumer<PlainAction> out = (a) -> {
	};

	private long lastSequence;

	private long lastAttemptId;

	/**
	 * Creates a scheduler without workers.
	 * @param settings the settings
	 * @param contracts the contracts in force
	 * @param seed the seed of its randomness; kept for implementations that draw lots
	 */
	public StdPlainScheduler(PlainSettings settings, ContractSet contracts, long seed) {
		this.settings = settings;
		this.contracts = contracts;
		this.queue = new FairQueue<>(this::share);
		this.retryBudget = new RetryBudget(new RetryBudgetSettings(settings.retryRatio(), settings.minRetries(),
				RETRY_WINDOW_MS, MAX_CUSTOMERS));
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
	 * Returns how many calls wait or run.
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
			PlainWorker w = this.workers.get(e.workerId());
			if (w != null) {
				w.drain();
			}
		}
		else if (event instanceof PlainEvent.ContractsChanged e) {
			this.contracts = e.contracts();
		}
	}

	private void submit(PlainRequest r, long now) {
		CallState c = new CallState(r, ++this.lastSequence);
		if (this.workers.values().stream().allMatch(PlainWorker::draining)) {
			refuse(c, RefusalCode.NO_WORKER, "No worker takes new calls.");
		}
		else if (this.queue.size() >= this.settings.queueLimit()) {
			refuse(c, RefusalCode.QUEUE_FULL, "The queue is full.");
		}
		else {
			this.retryBudget.recordFirstAttempt(r.customer(), now);
			this.callsById.put(r.id(), c);
			this.queue.add(c);
			this.timers.add(c, latestStart(c));
			this.timers.add(c, r.deadlineAt());
		}
	}

	private void onCallerGone(@Nullable CallState c) {
		if (c != null) {
			cancel(c);
			end(c);
		}
	}

	private void onCallCompleted(@Nullable CallState c, long now) {
		if (c == null) {
			return;
		}
		PlainWorker w = c.worker;
		if (w != null) {
			double took = now - c.startedAt;
			this.queue.charge(c.flow(), took - w.averageMs());
			w.attemptCompleted(took);
			this.outlierDetector.recordSuccess(w.id(), took, now);
		}
		c.worker = null;
		end(c);
	}

	private void onAttemptFailed(@Nullable CallState c, boolean maybeRun, long now) {
		if (c == null) {
			return;
		}
		c.mayHaveRun |= maybeRun;
		if (c.worker != null) {
			this.outlierDetector.recordFailure(c.worker.id(), now);
		}
		releaseWorker(c);
		if (c.mayHaveRun && !c.request.repeatable()) {
			refuse(c, RefusalCode.OUTCOME_UNKNOWN, "The answer was lost; the call may have been run.");
		}
		else if (c.attemptCount >= this.settings.maxAttempts() || now > latestStart(c)) {
			refuse(c, RefusalCode.WORKER_LOST, "The call failed and no try is left.");
		}
		else if (!this.retryBudget.tryRetry(c.flow(), now)) {
			refuse(c, RefusalCode.RETRY_BUDGET, "The customer's retries are used up.");
		}
		else {
			this.queue.add(c);
			this.timers.add(c, latestStart(c));
		}
	}

	private void removeWorker(String id, long now) {
		if (this.workers.remove(id) == null) {
			return;
		}
		this.outlierDetector.removeWorker(id);
		List<CallState> lost = new ArrayList<>();
		for (CallState c : this.callsByAttempt.values()) {
			if (c.worker != null && c.worker.id().equals(id)) {
				lost.add(c);
			}
		}
		lost.forEach((c) -> onAttemptFailed(c, true, now));
	}

	private void runTimers(long now) {
		CallState c = this.timers.poll(now);
		while (c != null) {
			onTimer(c, now);
			c = this.timers.poll(now);
		}
	}

	private void onTimer(CallState c, long now) {
		if (now >= c.request.deadlineAt()) {
			c.mayHaveRun |= c.worker != null;
			cancel(c);
			refuse(c, RefusalCode.DEADLINE_PASSED, "The deadline has passed.");
		}
		else if (c.worker == null && now > latestStart(c)) {
			refuse(c, RefusalCode.DEADLINE_INFEASIBLE, "The target cannot be met at the present load.");
		}
		else if (c.worker == null) {
			this.timers.add(c, Math.max(now, latestStart(c)) + 1);
		}
	}

	private void dispatch(long now) {
		PlainWorker w = leastLoaded(now);
		while (w != null && this.queue.size() > 0) {
			CallState c = this.queue.findNext(this.settings.lookahead(), (x) -> true);
			if (c == null) {
				return;
			}
			if (now > latestStart(c)) {
				refuse(c, RefusalCode.DEADLINE_INFEASIBLE, "The target cannot be met at the present load.");
				continue;
			}
			start(c, w, now);
			w = leastLoaded(now);
		}
	}

	private void start(CallState c, PlainWorker w, long now) {
		this.queue.dispatch(c, w.averageMs());
		c.attemptId = ++this.lastAttemptId;
		c.attemptCount++;
		c.startedAt = now;
		c.worker = w;
		w.attemptStarted();
		this.outlierDetector.recordStart(w.id(), now);
		this.callsByAttempt.put(c.attemptId, c);
		this.out.accept(new PlainAction.StartCall(c.request.id(), c.attemptId, w.id()));
	}

	private void cancel(CallState c) {
		PlainWorker w = c.worker;
		if (w != null) {
			this.out.accept(new PlainAction.CancelCall(c.request.id(), c.attemptId, w.id()));
		}
		releaseWorker(c);
	}

	private void refuse(CallState c, RefusalCode code, String detail) {
		end(c);
		Refusal refusal = c.mayHaveRun ? Refusal.outcomeUnknown(code, detail) : Refusal.notRun(code, detail, RETRY_AFTER_MS);
		this.out.accept(new PlainAction.Refuse(c.request.id(), refusal));
	}

	private void end(CallState c) {
		releaseWorker(c);
		this.queue.remove(c);
		c.ended = true;
		this.callsById.remove(c.request.id(), c);
	}

	private void releaseWorker(CallState c) {
		if (c.worker != null) {
			c.worker.attemptAborted();
			c.worker = null;
		}
		this.callsByAttempt.remove(c.attemptId);
	}

	private long latestStart(CallState c) {
		double least = Double.MAX_VALUE;
		for (PlainWorker w : this.workers.values()) {
			least = Math.min(least, w.averageMs());
		}
		return c.dueAt() - ((least == Double.MAX_VALUE) ? 0 : (long) least);
	}

	private @Nullable PlainWorker leastLoaded(long now) {
		PlainWorker best = null;
		for (PlainWorker w : this.workers.values()) {
			boolean in = this.outlierDetector.health(w.id(), now) != WorkerHealth.EJECTED;
			if (in && w.hasCapacity() && (best == null || w.load() < best.load())) {
				best = w;
			}
		}
		return best;
	}

	private double share(String customer) {
		return this.contracts.find(customer).map(Contract::share).orElse(UNKNOWN_CUSTOMER_SHARE);
	}

}
