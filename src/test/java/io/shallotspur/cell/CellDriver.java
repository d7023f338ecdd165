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
 * Drives a scheduler in virtual time over engines of constant speed. It holds the books
 * on what runs where, so that a test can ask what is left behind.
 */
final class CellDriver {

	static final int PREAMBLE_BLOCKS = 20;

	private static final double PREFILL_MS_PER_TOKEN = 0.2;

	private static final long TRANSFER_MS = 100;

	private static final long STEP_MS = 40;

	final StdCellScheduler scheduler;

	final Map<String, Refusal> refused = new HashMap<>();

	final Set<String> completed = new HashSet<>();

	final Map<String, Long> firstTokenAt = new HashMap<>();

	final Map<String, Integer> outputs = new HashMap<>();

	final List<CellAction> actions = new ArrayList<>();

	final Map<Long, String> prefilling = new HashMap<>();

	final Map<Long, String> kv = new HashMap<>();

	final Map<Long, String> transferring = new HashMap<>();

	final Map<Long, String> decoding = new HashMap<>();

	final Set<String> stalledWorkers = new HashSet<>();

	final Set<String> poison = new HashSet<>();

	/**
	 * The tokens after which a poisonous request crashes its worker.
	 */
	int poisonAfter;

	final List<String> crashed = new ArrayList<>();

	final Map<String, Long> computed = new HashMap<>();

	private final Map<Long, CellAction.StartPrefill> attempts = new HashMap<>();

	private final Map<String, ModelRequest> requests = new HashMap<>();

	private final Map<String, Set<Long>> caches = new HashMap<>();

	private final PriorityQueue<Planned> planned = new PriorityQueue<>(
			Comparator.comparingLong(Planned::at).thenComparingLong(Planned::order));

	private final List<CellAction> pending = new ArrayList<>();

	private long order;

	long now;

	CellDriver(StdCellScheduler scheduler) {
		this.scheduler = scheduler;
	}

	static CellDriver of(CellSettings settings, int prefill, int decode, int slots) {
		CellDriver d = new CellDriver(new StdCellScheduler(settings, contracts(), 1));
		for (int i = 1; i <= prefill; i++) {
			d.event(new CellEvent.WorkerUp(prefillWorker("p" + i)));
		}
		for (int i = 1; i <= decode; i++) {
			d.event(new CellEvent.WorkerUp(decodeWorker("d" + i, slots)));
		}
		return d;
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

	ModelRequest request(String id, String customer, int preamble, int tokens) {
		long[] blocks = new long[PREAMBLE_BLOCKS];
		for (int i = 0; i < blocks.length; i++) {
			blocks[i] = preamble * 1000L + i;
		}
		return new ModelRequest(id, customer, "c", tokens, blocks, 0, 1, 2000, 53, this.now, this.now + 15_000, true,
				id.hashCode());
	}

	void submit(ModelRequest r, int output) {
		this.requests.put(r.id(), r);
		this.outputs.put(r.id(), output);
		event(new CellEvent.Submit(r));
	}

	void event(CellEvent e) {
		this.scheduler.handle(e, this.now, this.pending::add);
		while (!this.pending.isEmpty()) {
			List<CellAction> l = List.copyOf(this.pending);
			this.pending.clear();
			l.forEach(this::act);
		}
	}

	void at(long at, Runnable task) {
		this.planned.add(new Planned(at, this.order++, task));
	}

	void runTo(long end) {
		while (true) {
			long wake = this.scheduler.nextWake(this.now);
			Planned p = this.planned.peek();
			long next = Math.min(wake, (p != null) ? p.at() : Long.MAX_VALUE);
			if (next > end) {
				this.now = end;
				return;
			}
			this.now = Math.max(this.now, next);
			if (p != null && p.at() <= next) {
				this.planned.poll();
				p.task().run();
			}
			else {
				event(new CellEvent.Tick());
			}
		}
	}

	void crash(String worker) {
		this.crashed.add(worker);
		for (Map<Long, String> m : List.of(this.prefilling, this.kv, this.transferring, this.decoding)) {
			m.values().removeIf(worker::equals);
		}
		this.caches.remove(worker);
		event(new CellEvent.WorkerDown(worker));
	}

	List<CellAction.StartPrefill> starts() {
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

	boolean idle() {
		return this.prefilling.isEmpty() && this.kv.isEmpty() && this.transferring.isEmpty() && this.decoding.isEmpty();
	}

	private void act(CellAction action) {
		this.actions.add(action);
		if (action instanceof CellAction.StartPrefill a) {
			startPrefill(a);
		}
		else if (action instanceof CellAction.StartTransfer a) {
			this.transferring.put(a.attempt(), a.decodeWorkerId());
			at(this.now + TRANSFER_MS, () -> endTransfer(a));
		}
		else if (action instanceof CellAction.StartDecode a) {
			this.transferring.remove(a.attempt());
			this.decoding.put(a.attempt(), a.decodeWorkerId());
			step(a, this.attempts.get(a.attempt()).deliveredTokens());
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
			this.kv.remove(a.attempt());
		}
		else if (action instanceof CellAction.Refuse a) {
			this.refused.put(a.requestId(), a.refusal());
		}
	}

	private void startPrefill(CellAction.StartPrefill a) {
		this.attempts.put(a.attempt(), a);
		this.prefilling.put(a.attempt(), a.prefillWorkerId());
		ModelRequest r = this.requests.get(a.requestId());
		Set<Long> cache = this.caches.computeIfAbsent(a.prefillWorkerId(), (k) -> new HashSet<>());
		boolean held = r.prefixBlocks().length > 0 && cache.contains(r.prefixBlocks()[0]);
		int tokens = r.promptTokens() + a.deliveredTokens();
		int missing = held ? tokens - r.prefixBlocks().length * ModelRequest.BLOCK_TOKENS : tokens;
		at(this.now + Math.round(missing * PREFILL_MS_PER_TOKEN), () -> {
			if (this.prefilling.remove(a.attempt()) != null) {
				this.computed.merge(a.requestId(), (long) missing, Long::sum);
				this.kv.put(a.attempt(), a.prefillWorkerId());
				for (long b : r.prefixBlocks()) {
					cache.add(b);
				}
				event(new CellEvent.PrefillDone(a.attempt(), missing));
			}
		});
	}

	private void endTransfer(CellAction.StartTransfer a) {
		if (this.transferring.containsKey(a.attempt()) && !this.stalledWorkers.contains(a.decodeWorkerId())) {
			event(new CellEvent.TransferDone(a.attempt()));
		}
	}

	private void step(CellAction.StartDecode a, int done) {
		at(this.now + STEP_MS, () -> {
			if (!this.decoding.containsKey(a.attempt())) {
				return;
			}
			if (this.poison.contains(a.requestId()) && done >= this.poisonAfter) {
				crash(a.decodeWorkerId());
				return;
			}
			this.firstTokenAt.putIfAbsent(a.requestId(), this.now);
			event(new CellEvent.Tokens(a.attempt(), 1));
			if (done + 1 >= this.outputs.get(a.requestId())) {
				this.decoding.remove(a.attempt());
				this.completed.add(a.requestId());
				event(new CellEvent.DecodeDone(a.attempt()));
			}
			else {
				step(a, done + 1);
			}
		});
	}

	private record Planned(long at, long order, Runnable task) {

	}

}
