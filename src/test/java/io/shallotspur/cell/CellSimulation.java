package io.shallotspur.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.outcome.Refusal;

/**
 * Runs a scheduler in virtual time against simulated engines of constant speed. It tracks
 * what runs on each worker, so that tests can detect leaked resources.
 */
final class CellSimulation {

	static final int SHARED_PREFIX_BLOCKS = 20;

	private static final double PREFILL_MS_PER_TOKEN = 0.2;

	private static final long TRANSFER_MS = 100;

	private static final long STEP_MS = 40;

	final StdCellScheduler scheduler;

	final Map<String, Refusal> refusals = new HashMap<>();

	final Set<String> completed = new HashSet<>();

	final Map<String, Long> firstTokenAt = new HashMap<>();

	final Map<String, Integer> outputTokens = new HashMap<>();

	final List<CellAction> actions = new ArrayList<>();

	final Map<Long, String> prefilling = new HashMap<>();

	final Map<Long, String> kvHeld = new HashMap<>();

	final Map<Long, String> transferring = new HashMap<>();

	final Map<Long, String> decoding = new HashMap<>();

	final Set<String> stalledWorkers = new HashSet<>();

	final Set<String> crashingRequests = new HashSet<>();

	/**
	 * Number of generated tokens after which one of {@link #crashingRequests} crashes its
	 * worker.
	 */
	int crashAfterTokens;

	final List<String> crashedWorkers = new ArrayList<>();

	final Map<String, Long> computedTokens = new HashMap<>();

	private final Map<Long, CellAction.StartPrefill> attempts = new HashMap<>();

	private final Map<String, ModelRequest> requests = new HashMap<>();

	private final Map<String, Set<Long>> caches = new HashMap<>();

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::at).thenComparingLong(Task::order));

	private final List<CellAction> pendingActions = new ArrayList<>();

	private long nextOrder;

	long now;

	CellSimulation(StdCellScheduler scheduler) {
		this.scheduler = scheduler;
	}

	static CellSimulation of(CellSettings settings, int prefill, int decode, int slots) {
		CellSimulation sim = new CellSimulation(new StdCellScheduler(settings, contracts(), 1));
		for (int i = 1; i <= prefill; i++) {
			sim.deliver(new CellEvent.WorkerUp(prefillWorker("p" + i)));
		}
		for (int i = 1; i <= decode; i++) {
			sim.deliver(new CellEvent.WorkerUp(decodeWorker("d" + i, slots)));
		}
		return sim;
	}

	static ContractSet contracts() {
		return ContractSet.of(List.of(new Contract("a", 0, 0.7, List.of(), List.of(), false),
				new Contract("b", 0, 0.3, List.of(), List.of(), false)));
	}

	static Worker prefillWorker(String id) {
		return new Worker(id, "llm", "hall", WorkerRole.PREFILL, "", 0, 24_000, 800, 0, 0);
	}

	static Worker decodeWorker(String id, int slots) {
		return new Worker(id, "llm", "hall", WorkerRole.DECODE, "", slots, 0, 0, 3000, 0.1);
	}

	ModelRequest request(String id, String customer, int prefixId, int tokens) {
		long[] blocks = new long[SHARED_PREFIX_BLOCKS];
		for (int i = 0; i < blocks.length; i++) {
			blocks[i] = prefixId * 1000L + i;
		}
		return new ModelRequest(id, customer, "c", tokens, blocks, 0, 1, 2000, 53, this.now, this.now + 15_000, true,
				id.hashCode());
	}

	void submit(ModelRequest r, int outputLength) {
		this.requests.put(r.id(), r);
		this.outputTokens.put(r.id(), outputLength);
		deliver(new CellEvent.Submit(r));
	}

	void deliver(CellEvent e) {
		this.scheduler.handle(e, this.now, this.pendingActions::add);
		while (!this.pendingActions.isEmpty()) {
			List<CellAction> l = List.copyOf(this.pendingActions);
			this.pendingActions.clear();
			l.forEach(this::perform);
		}
	}

	void schedule(long at, Runnable task) {
		this.tasks.add(new Task(at, this.nextOrder++, task));
	}

	void runUntil(long end) {
		while (true) {
			long wake = this.scheduler.nextWake(this.now);
			Task task = this.tasks.peek();
			long next = Math.min(wake, (task != null) ? task.at() : Long.MAX_VALUE);
			if (next > end) {
				this.now = end;
				return;
			}
			this.now = Math.max(this.now, next);
			if (task != null && task.at() <= next) {
				this.tasks.poll();
				task.action().run();
			}
			else {
				deliver(new CellEvent.Tick());
			}
		}
	}

	void crash(String worker) {
		this.crashedWorkers.add(worker);
		for (Map<Long, String> m : List.of(this.prefilling, this.kvHeld, this.transferring, this.decoding)) {
			m.values().removeIf(worker::equals);
		}
		this.caches.remove(worker);
		deliver(new CellEvent.WorkerDown(worker));
	}

	List<CellAction.StartPrefill> prefillStarts() {
		return this.actions.stream()
			.filter(CellAction.StartPrefill.class::isInstance)
			.map(CellAction.StartPrefill.class::cast)
			.toList();
	}

	Set<Long> attemptsOn(String decodeWorker) {
		Set<Long> l = new HashSet<>();
		this.decoding.forEach((a, w) -> {
			if (w.equals(decodeWorker)) {
				l.add(a);
			}
		});
		return l;
	}

	boolean isIdle() {
		return this.prefilling.isEmpty() && this.kvHeld.isEmpty() && this.transferring.isEmpty()
				&& this.decoding.isEmpty();
	}

	private void perform(CellAction action) {
		this.actions.add(action);
		if (action instanceof CellAction.StartPrefill a) {
			startPrefill(a);
		}
		else if (action instanceof CellAction.StartTransfer a) {
			this.transferring.put(a.attempt(), a.decodeWorkerId());
			schedule(this.now + TRANSFER_MS, () -> finishTransfer(a));
		}
		else if (action instanceof CellAction.StartDecode a) {
			this.transferring.remove(a.attempt());
			this.decoding.put(a.attempt(), a.decodeWorkerId());
			scheduleStep(a, this.attempts.get(a.attempt()).deliveredTokens());
		}
		else if (action instanceof CellAction.CancelPrefill a) {
			this.prefilling.remove(a.attempt());
		}
		else if (action instanceof CellAction.CancelTransfer a) {
			this.transferring.remove(a.attempt());
		}
		else if (action instanceof CellAction.CancelDecode a) {
			this.decoding.remove(a.attempt());
		}
		else if (action instanceof CellAction.ReleaseKv a) {
			this.kvHeld.remove(a.attempt());
		}
		else if (action instanceof CellAction.Refuse a) {
			this.refusals.put(a.requestId(), a.refusal());
		}
	}

	private void startPrefill(CellAction.StartPrefill a) {
		this.attempts.put(a.attempt(), a);
		this.prefilling.put(a.attempt(), a.prefillWorkerId());
		ModelRequest r = this.requests.get(a.requestId());
		Set<Long> cache = this.caches.computeIfAbsent(a.prefillWorkerId(), (k) -> new HashSet<>());
		boolean cached = r.prefixBlocks().length > 0 && cache.contains(r.prefixBlocks()[0]);
		int tokens = r.promptTokens() + a.deliveredTokens();
		int uncached = cached ? tokens - r.prefixBlocks().length * ModelRequest.BLOCK_TOKENS : tokens;
		schedule(this.now + Math.round(uncached * PREFILL_MS_PER_TOKEN), () -> {
			if (this.prefilling.remove(a.attempt()) != null) {
				this.computedTokens.merge(a.requestId(), (long) uncached, Long::sum);
				this.kvHeld.put(a.attempt(), a.prefillWorkerId());
				for (long b : r.prefixBlocks()) {
					cache.add(b);
				}
				deliver(new CellEvent.PrefillDone(a.attempt(), uncached));
			}
		});
	}

	private void finishTransfer(CellAction.StartTransfer a) {
		if (this.transferring.containsKey(a.attempt()) && !this.stalledWorkers.contains(a.decodeWorkerId())) {
			deliver(new CellEvent.TransferDone(a.attempt()));
		}
	}

	private void scheduleStep(CellAction.StartDecode a, int generated) {
		schedule(this.now + STEP_MS, () -> {
			if (!this.decoding.containsKey(a.attempt())) {
				return;
			}
			if (this.crashingRequests.contains(a.requestId()) && generated >= this.crashAfterTokens) {
				crash(a.decodeWorkerId());
				return;
			}
			this.firstTokenAt.putIfAbsent(a.requestId(), this.now);
			deliver(new CellEvent.Tokens(a.attempt(), 1));
			if (generated + 1 >= this.outputTokens.get(a.requestId())) {
				this.decoding.remove(a.attempt());
				this.completed.add(a.requestId());
				deliver(new CellEvent.DecodeDone(a.attempt()));
			}
			else {
				scheduleStep(a, generated + 1);
			}
		});
	}

	private record Task(long at, long order, Runnable action) {

	}

}
