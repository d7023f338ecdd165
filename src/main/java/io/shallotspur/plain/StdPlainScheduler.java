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

	private static final double UNKNOWN_SHARE = 0.01;

	private static final long RETRY_AFTER_MS = 500;

	private static final long RETRY_WINDOW_MS = 10_000;

	private static final int MAX_CUSTOMERS = 65_536;

	private final PlainSettings settings;

	private final Map<String, PlainWorker> workers = new LinkedHashMap<>();

	private final Map<String, Call> byId = new HashMap<>();

	private final Map<Long, Call> byAttempt = new LinkedHashMap<>();

	private final FairQueue<Call> queue;

	private final TimerQueue<Call> timers = new TimerQueue<>((c) -> c.ended);

	private final RetryBudget budget;

	private final OutlierDetector outliers = new OutlierDetector();

	private ContractSet contracts;

	private Consumer<PlainAction> out = (a) -> {
	};

	private long sequence;

	private long attempt;

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
		this.budget = new RetryBudget(
				new RetryBudgetSettings(settings.retryRatio(), settings.retryReserve(), RETRY_WINDOW_MS, MAX_CUSTOMERS));
	}

	@Override
	public void handle(PlainEvent event, long now, Consumer<PlainAction> out) {
		this.out = out;
		if (!onCall(event, now)) {
			onFleet(event, now);
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
	public int size() {
		return this.byId.size();
	}

	private boolean onCall(PlainEvent event, long now) {
		if (event instanceof PlainEvent.Submit e) {
			submit(e.request(), now);
		}
		else if (event instanceof PlainEvent.CallerGone e) {
			callerGone(this.byId.get(e.requestId()));
		}
		else if (event instanceof PlainEvent.CallDone e) {
			callDone(this.byAttempt.get(e.attempt()), now);
		}
		else if (event instanceof PlainEvent.CallNotRun e) {
			failed(this.byAttempt.get(e.attempt()), false, now);
		}
		else if (event instanceof PlainEvent.CallLost e) {
			failed(this.byAttempt.get(e.attempt()), true, now);
		}
		else {
			return false;
		}
		return true;
	}

	private void onFleet(PlainEvent event, long now) {
		if (event instanceof PlainEvent.WorkerUp e) {
			workerDown(e.worker().id(), now);
			this.workers.put(e.worker().id(), new PlainWorker(e.worker(), this.settings));
			this.outliers.addWorker(e.worker().id());
		}
		else if (event instanceof PlainEvent.WorkerDown e) {
			workerDown(e.workerId(), now);
		}
		else if (event instanceof PlainEvent.WorkerLeaving e) {
			PlainWorker w = this.workers.get(e.workerId());
			if (w != null) {
				w.leave();
			}
		}
		else if (event instanceof PlainEvent.ContractsChanged e) {
			this.contracts = e.contracts();
		}
	}

	private void submit(PlainRequest r, long now) {
		Call c = new Call(r, ++this.sequence);
		if (this.workers.values().stream().allMatch(PlainWorker::leaving)) {
			refuse(c, RefusalCode.NO_WORKER, "No worker takes new calls.");
		}
		else if (this.queue.size() >= this.settings.queueLimit()) {
			refuse(c, RefusalCode.QUEUE_FULL, "The queue is full.");
		}
		else {
			this.budget.recordFirstAttempt(r.customer(), now);
			this.byId.put(r.id(), c);
			this.queue.add(c);
			this.timers.add(c, latestStart(c));
			this.timers.add(c, r.deadlineAt());
		}
	}

	private void callerGone(@Nullable Call c) {
		if (c != null) {
			cancel(c);
			end(c);
		}
	}

	private void callDone(@Nullable Call c, long now) {
		if (c == null) {
			return;
		}
		PlainWorker w = c.worker;
		if (w != null) {
			double took = now - c.startedAt;
			this.queue.charge(c.flow(), took - w.recentMs());
			w.done(took);
			this.outliers.recordSuccess(w.id(), took, now);
		}
		c.worker = null;
		end(c);
	}

	private void failed(@Nullable Call c, boolean maybeRun, long now) {
		if (c == null) {
			return;
		}
		c.maybeRun |= maybeRun;
		if (c.worker != null) {
			this.outliers.recordFailure(c.worker.id(), now);
		}
		freeWorker(c);
		if (c.maybeRun && !c.request.repeatable()) {
			refuse(c, RefusalCode.OUTCOME_UNKNOWN, "The answer was lost; the call may have been run.");
		}
		else if (c.tries >= this.settings.maxTries() || now > latestStart(c)) {
			refuse(c, RefusalCode.WORKER_LOST, "The call failed and no try is left.");
		}
		else if (!this.budget.tryRetry(c.flow(), now)) {
			refuse(c, RefusalCode.RETRY_BUDGET, "The customer's retries are used up.");
		}
		else {
			this.queue.add(c);
			this.timers.add(c, latestStart(c));
		}
	}

	private void workerDown(String id, long now) {
		if (this.workers.remove(id) == null) {
			return;
		}
		this.outliers.removeWorker(id);
		List<Call> lost = new ArrayList<>();
		for (Call c : this.byAttempt.values()) {
			if (c.worker != null && c.worker.id().equals(id)) {
				lost.add(c);
			}
		}
		lost.forEach((c) -> failed(c, true, now));
	}

	private void runTimers(long now) {
		Call c = this.timers.poll(now);
		while (c != null) {
			onTimer(c, now);
			c = this.timers.poll(now);
		}
	}

	private void onTimer(Call c, long now) {
		if (now >= c.request.deadlineAt()) {
			c.maybeRun |= c.worker != null;
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
			Call c = this.queue.findNext(this.settings.lookahead(), (x) -> true);
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

	private void start(Call c, PlainWorker w, long now) {
		this.queue.dispatch(c, w.recentMs());
		c.attempt = ++this.attempt;
		c.tries++;
		c.startedAt = now;
		c.worker = w;
		w.start();
		this.outliers.recordStart(w.id(), now);
		this.byAttempt.put(c.attempt, c);
		this.out.accept(new PlainAction.StartCall(c.request.id(), c.attempt, w.id()));
	}

	private void cancel(Call c) {
		PlainWorker w = c.worker;
		if (w != null) {
			this.out.accept(new PlainAction.CancelCall(c.request.id(), c.attempt, w.id()));
		}
		freeWorker(c);
	}

	private void refuse(Call c, RefusalCode code, String detail) {
		end(c);
		Refusal refusal = c.maybeRun ? Refusal.unknown(code, detail) : Refusal.notRun(code, detail, RETRY_AFTER_MS);
		this.out.accept(new PlainAction.Refuse(c.request.id(), refusal));
	}

	private void end(Call c) {
		freeWorker(c);
		this.queue.remove(c);
		c.ended = true;
		this.byId.remove(c.request.id(), c);
	}

	private void freeWorker(Call c) {
		if (c.worker != null) {
			c.worker.abort();
			c.worker = null;
		}
		this.byAttempt.remove(c.attempt);
	}

	private long latestStart(Call c) {
		double least = Double.MAX_VALUE;
		for (PlainWorker w : this.workers.values()) {
			least = Math.min(least, w.recentMs());
		}
		return c.dueAt() - ((least == Double.MAX_VALUE) ? 0 : (long) least);
	}

	private @Nullable PlainWorker leastLoaded(long now) {
		PlainWorker best = null;
		for (PlainWorker w : this.workers.values()) {
			boolean in = this.outliers.health(w.id(), now) != WorkerHealth.EJECTED;
			if (in && w.hasRoom() && (best == null || w.load() < best.load())) {
				best = w;
			}
		}
		return best;
	}

	private double share(String customer) {
		return this.contracts.find(customer).map(Contract::share).orElse(UNKNOWN_SHARE);
	}

}
