package io.shallotspur.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import net.openhft.hashing.LongHashFunction;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * Divides the model workers of a deployment into cells. Immutable and freely shared.
 * <p>
 * Every node that knows the same workers makes the same plan, without a message. A cell
 * keeps within a hall where the hall has enough workers of both roles; smaller halls are
 * pooled, because a cell of two or three workers wastes what a larger one shares, and a
 * hall without one of the roles borrows from the hall that has most of it.
 * <p>
 * Invariants: no cell has more than {@link #MAX_WORKERS}; each has both roles; no worker
 * is in two cells. When a worker comes or goes, the others keep their cells, but for
 * those that a changed number of cells moves.
 */
public final class CellLayout {

	/**
	 * The most workers of a cell.
	 */
	public static final int MAX_WORKERS = 16;

	private static final int MIN_WORKERS = 8;

	private static final int TARGET_WORKERS = 12;

	private static final int POINTS_PER_CELL = 16;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final List<Cell> cells;

	private final Map<String, Cell> byWorker = new HashMap<>();

	private final List<Worker> unassignedWorkers;

	private final Map<String, Ring> rings = new HashMap<>();

	private CellLayout(List<Cell> cells, List<Worker> spare) {
		this.cells = List.copyOf(cells);
		this.unassignedWorkers = List.copyOf(spare);
		Map<String, List<Cell>> byUpstream = new TreeMap<>();
		for (Cell c : cells) {
			c.workers().forEach((w) -> this.byWorker.put(w.id(), c));
			byUpstream.computeIfAbsent(c.upstream(), (u) -> new ArrayList<>()).add(c);
		}
		byUpstream.forEach((u, l) -> this.rings.put(u, new Ring(l)));
	}

	/**
	 * Makes the plan.
	 * @param workers all workers; plain ones are left out
	 * @return the plan
	 */
	public static CellLayout of(Collection<Worker> workers) {
		Map<String, List<Worker>> byUpstream = new TreeMap<>();
		for (Worker w : workers) {
			if (w.role() != WorkerRole.PLAIN) {
				byUpstream.computeIfAbsent(w.upstream(), (u) -> new ArrayList<>()).add(w);
			}
		}
		List<Cell> cells = new ArrayList<>();
		List<Worker> spare = new ArrayList<>();
		for (Map.Entry<String, List<Worker>> e : byUpstream.entrySet()) {
			groups(e.getValue()).forEach((hall, l) -> new CellFill(e.getKey(), hall, l).fill(cells, spare));
		}
		return new CellLayout(cells, spare);
	}

	/**
	 * Returns all cells.
	 * @return the cells in a fixed order
	 */
	public List<Cell> cells() {
		return this.cells;
	}

	/**
	 * Returns the workers that are in no cell, because the other role is missing.
	 * @return the workers
	 */
	public List<Worker> unassignedWorkers() {
		return this.unassignedWorkers;
	}

	/**
	 * Finds the cell of a worker.
	 * @param workerId the worker
	 * @return the cell, or empty if it is in none
	 */
	public Optional<Cell> cellOf(String workerId) {
		return Optional.ofNullable(this.byWorker.get(workerId));
	}

	/**
	 * Finds the cell that requests with a key go to first, for instance those of one
	 * customer and preamble, so that they meet in one cache. Takes O(log n) in the number
	 * of cells.
	 * @param upstream the upstream
	 * @param key the key
	 * @return the cell, or empty if the upstream has none
	 */
	public Optional<Cell> locate(String upstream, long key) {
		return Optional.ofNullable(this.rings.get(upstream)).map((r) -> r.at(key));
	}

	/**
	 * Returns the node that admits work to a cell.
	 * @param cellId the cell
	 * @param nodes the live nodes
	 * @return the owner, or empty if no node lives
	 */
	public static Optional<String> owner(String cellId, Collection<String> nodes) {
		return Optional.ofNullable(RendezvousHash.owner(cellId, nodes));
	}

	private static Map<String, List<Worker>> groups(List<Worker> workers) {
		Map<String, List<Worker>> byHall = new TreeMap<>();
		workers.stream()
			.sorted(Comparator.comparing(Worker::id))
			.forEach((w) -> byHall.computeIfAbsent(w.hall(), (h) -> new ArrayList<>()).add(w));
		Map<String, List<Worker>> groups = new TreeMap<>();
		List<Worker> pool = new ArrayList<>();
		byHall.forEach((hall, l) -> {
			if (l.size() >= MIN_WORKERS && hasBoth(l)) {
				groups.put(hall, l);
			}
			else {
				pool.addAll(l);
			}
		});
		if (!pool.isEmpty()) {
			addPool(groups, pool);
		}
		return groups;
	}

	private static void addPool(Map<String, List<Worker>> groups, List<Worker> pool) {
		if (groups.isEmpty() || hasBoth(pool)) {
			groups.put("", pool);
			return;
		}
		WorkerRole missing = (count(pool, WorkerRole.PREFILL) == 0) ? WorkerRole.PREFILL : WorkerRole.DECODE;
		groups.values()
			.stream()
			.max(Comparator.comparingInt((l) -> count(l, missing)))
			.ifPresent((lender) -> lender.addAll(pool));
	}

	private static boolean hasBoth(List<Worker> l) {
		return count(l, WorkerRole.PREFILL) > 0 && count(l, WorkerRole.DECODE) > 0;
	}

	static int count(List<Worker> l, WorkerRole role) {
		return (int) l.stream().filter((w) -> w.role() == role).count();
	}

	static int cellsFor(int workers) {
		return (workers <= MAX_WORKERS) ? 1 : (workers + TARGET_WORKERS - 1) / TARGET_WORKERS;
	}

	/**
	 * The cells of an upstream as points on a circle, sorted. Immutable.
	 */
	private static final class Ring {

		private final long[] points;

		private final Cell[] owners;

		Ring(List<Cell> cells) {
			Map<Long, Cell> m = new TreeMap<>();
			for (Cell c : cells) {
				for (int i = 0; i < POINTS_PER_CELL; i++) {
					m.put(HASH.hashChars(c.id() + "#" + i), c);
				}
			}
			this.points = m.keySet().stream().mapToLong(Long::longValue).toArray();
			this.owners = m.values().toArray(new Cell[0]);
		}

		Cell at(long key) {
			int i = Arrays.binarySearch(this.points, HASH.hashLong(key));
			int next = (i >= 0) ? i : -i - 1;
			return this.owners[(next < this.owners.length) ? next : 0];
		}

	}

}
