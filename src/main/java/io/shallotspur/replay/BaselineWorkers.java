package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * The workers as a baseline knows them, and the baselines' ways to choose one. Not
 * thread-safe.
 */
final class BaselineWorkers {

	private final Policy policy;

	private final Random random;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private final Map<WorkerRole, Integer> turns = new LinkedHashMap<>();

	BaselineWorkers(Policy policy, long seed) {
		this.policy = policy;
		this.random = new Random(seed);
	}

	void up(Worker worker) {
		this.entries.put(worker.id(), new Entry(worker));
	}

	void down(String id) {
		Entry e = this.entries.get(id);
		if (e != null) {
			e.usable = false;
			e.outstanding = 0;
			e.blocks.clear();
		}
	}

	void leaving(String id) {
		Entry e = this.entries.get(id);
		if (e != null) {
			e.usable = false;
		}
	}

	Entry get(String id) {
		Entry e = this.entries.get(id);
		if (e == null) {
			throw new IllegalArgumentException("Unknown worker: " + id);
		}
		return e;
	}

	/**
	 * Chooses a prefill worker.
	 * @param blocks the blocks of the prompt
	 * @return the worker, or {@code null} if none takes new work
	 */
	@Nullable Entry choosePrefill(long[] blocks) {
		List<Entry> usable = usable(WorkerRole.PREFILL, (e) -> true);
		if (this.policy != Policy.P2C_PREFIX || usable.isEmpty()) {
			return choose(WorkerRole.PREFILL, usable);
		}
		long most = usable.stream().mapToLong((e) -> e.matches(blocks)).max().orElse(0);
		List<Entry> holders = usable.stream().filter((e) -> most > 0 && 2 * e.matches(blocks) >= most).toList();
		return choose(WorkerRole.PREFILL, holders.isEmpty() ? usable : holders);
	}

	/**
	 * Chooses a decode worker with a free slot.
	 * @return the worker, or {@code null} if there is none
	 */
	@Nullable Entry chooseDecode() {
		return choose(WorkerRole.DECODE, usable(WorkerRole.DECODE, (e) -> e.outstanding < e.worker.slots()));
	}

	/**
	 * Chooses a worker of a plain service.
	 * @return the worker, or {@code null} if none takes new work
	 */
	@Nullable Entry choosePlain() {
		return choose(WorkerRole.PLAIN, usable(WorkerRole.PLAIN, (e) -> true));
	}

	private List<Entry> usable(WorkerRole role, Predicate<Entry> filter) {
		return this.entries.values()
			.stream()
			.filter((e) -> e.usable && e.worker.role() == role && filter.test(e))
			.toList();
	}

	private @Nullable Entry choose(WorkerRole role, List<Entry> candidates) {
		if (candidates.isEmpty()) {
			return null;
		}
		return (this.policy == Policy.ROUND_ROBIN) ? nextInTurn(role, candidates) : betterOfTwo(candidates);
	}

	private Entry nextInTurn(WorkerRole role, List<Entry> candidates) {
		List<Entry> all = new ArrayList<>(this.entries.values());
		int turn = this.turns.getOrDefault(role, 0);
		while (!candidates.contains(all.get(turn % all.size()))) {
			turn++;
		}
		this.turns.put(role, (turn + 1) % all.size());
		return all.get(turn % all.size());
	}

	private Entry betterOfTwo(List<Entry> candidates) {
		int n = candidates.size();
		Entry a = candidates.get(this.random.nextInt(n));
		if (n == 1) {
			return a;
		}
		Entry b = candidates.get(this.random.nextInt(n));
		while (b == a) {
			b = candidates.get(this.random.nextInt(n));
		}
		return (b.outstanding < a.outstanding) ? b : a;
	}

	/**
	 * One worker. Not thread-safe.
	 */
	static final class Entry {

		private final Worker worker;

		private final Set<Long> blocks = new HashSet<>();

		private boolean usable = true;

		private int outstanding;

		Entry(Worker worker) {
			this.worker = worker;
		}

		String id() {
			return this.worker.id();
		}

		void take() {
			this.outstanding++;
		}

		void release() {
			this.outstanding = Math.max(0, this.outstanding - 1);
		}

		void cache(long block, boolean stored) {
			if (stored) {
				this.blocks.add(block);
			}
			else {
				this.blocks.remove(block);
			}
		}

		private long matches(long[] prompt) {
			long n = 0;
			for (long b : prompt) {
				n += this.blocks.contains(b) ? 1 : 0;
			}
			return n;
		}

	}

}
