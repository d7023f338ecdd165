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
 * Partition of the model workers of a deployment into cells. Immutable and thread-safe.
 * <p>
 * All nodes that know the same workers compute the same layout without communication. A
 * cell stays within a hall if the hall has enough workers of both roles. Smaller halls
 * are pooled, because a cell of two or three workers makes poorer use of shared capacity
 * than a larger one. If the pool lacks one of the roles, it joins the hall that has the
 * most workers of that role.
 * <p>
 * Invariants: no cell has more than {@link #MAX_WORKERS} workers; each cell has both
 * roles; no worker is in two cells. When a worker is added or removed, the others stay in
 * their cells, except for those that move because the number of cells changes.
 */
public final class CellLayout {

	/**
	 * The maximum number of workers in a cell.
	 */
	public static final int MAX_WORKERS = 16;

	private static final int MIN_WORKERS = 8;

	private static final int TARGET_WORKERS = 12;

	private static final int RING_POINTS_PER_CELL = 16;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final List<Cell> cells;

	private final Map<String, Cell> byWorker = new HashMap<>();

	private final List<Worker> unassignedWorkers;

	private final Map<String, HashRing> rings = new HashMap<>();

	private CellLayout(List<Cell> cells, List<Worker> unassignedWorkers) {
		this.cells = List.copyOf(cells);
		this.unassignedWorkers = List.copyOf(unassignedWorkers);
		Map<String, List<Cell>> byUpstream = new TreeMap<>();
		for (Cell cell : cells) {
			cell.workers().forEach((worker) -> this.byWorker.put(worker.id(), cell));
			byUpstream.computeIfAbsent(cell.upstream(), (key) -> new ArrayList<>()).add(cell);
		}
		byUpstream.forEach((upstream, upstreamCells) -> this.rings.put(upstream, new HashRing(upstreamCells)));
	}

	/**
	 * Partitions workers into cells, separately for each upstream.
	 * @param workers all workers; those with the role {@link WorkerRole#PLAIN} are
	 * ignored, because they serve upstreams without separate prefill and decode stages
	 * @return the layout
	 */
	public static CellLayout of(Collection<Worker> workers) {
		Map<String, List<Worker>> byUpstream = new TreeMap<>();
		for (Worker worker : workers) {
			if (worker.role() != WorkerRole.PLAIN) {
				byUpstream.computeIfAbsent(worker.upstream(), (key) -> new ArrayList<>()).add(worker);
			}
		}
		List<Cell> cells = new ArrayList<>();
		List<Worker> unassignedWorkers = new ArrayList<>();
		for (Map.Entry<String, List<Worker>> entry : byUpstream.entrySet()) {
			groupByHall(entry.getValue()).forEach(
					(hall, group) -> new CellAssigner(entry.getKey(), hall, group).assign(cells, unassignedWorkers));
		}
		return new CellLayout(cells, unassignedWorkers);
	}

	/**
	 * Returns all cells.
	 * @return the cells in a deterministic order
	 */
	public List<Cell> cells() {
		return this.cells;
	}

	/**
	 * Returns the workers that are not in any cell because there are too few workers of
	 * the other role.
	 * @return the workers
	 */
	public List<Worker> unassignedWorkers() {
		return this.unassignedWorkers;
	}

	/**
	 * Returns the cell of a worker.
	 * @param workerId the identifier of the worker
	 * @return the cell, or empty if the worker is not in any cell
	 */
	public Optional<Cell> cellOf(String workerId) {
		return Optional.ofNullable(this.byWorker.get(workerId));
	}

	/**
	 * Returns the preferred cell for requests with the same key, for instance those of
	 * one customer with the same prompt prefix, so that they share a prefix cache. Takes
	 * O(log n) in the number of cells.
	 * @param upstream the upstream
	 * @param key the key
	 * @return the cell, or empty if the upstream has no cells
	 */
	public Optional<Cell> locate(String upstream, long key) {
		return Optional.ofNullable(this.rings.get(upstream)).map((ring) -> ring.cellFor(key));
	}

	/**
	 * Returns the node that runs admission control for a cell.
	 * @param cellId the identifier of the cell
	 * @param nodes the live nodes
	 * @return the owner, or empty if there are no live nodes
	 */
	public static Optional<String> owner(String cellId, Collection<String> nodes) {
		return Optional.ofNullable(RendezvousHash.owner(cellId, nodes));
	}

	private static Map<String, List<Worker>> groupByHall(List<Worker> workers) {
		Map<String, List<Worker>> byHall = new TreeMap<>();
		workers.stream()
			.sorted(Comparator.comparing(Worker::id))
			.forEach((worker) -> byHall.computeIfAbsent(worker.hall(), (key) -> new ArrayList<>()).add(worker));
		Map<String, List<Worker>> groups = new TreeMap<>();
		List<Worker> pool = new ArrayList<>();
		byHall.forEach((hall, hallWorkers) -> {
			if (hallWorkers.size() >= MIN_WORKERS && hasBothRoles(hallWorkers)) {
				groups.put(hall, hallWorkers);
			}
			else {
				pool.addAll(hallWorkers);
			}
		});
		if (!pool.isEmpty()) {
			addPool(groups, pool);
		}
		return groups;
	}

	private static void addPool(Map<String, List<Worker>> groups, List<Worker> pool) {
		if (groups.isEmpty() || hasBothRoles(pool)) {
			groups.put("", pool);
			return;
		}
		WorkerRole missingRole = (count(pool, WorkerRole.PREFILL) == 0) ? WorkerRole.PREFILL : WorkerRole.DECODE;
		groups.values()
			.stream()
			.max(Comparator.comparingInt((group) -> count(group, missingRole)))
			.ifPresent((group) -> group.addAll(pool));
	}

	private static boolean hasBothRoles(List<Worker> workers) {
		return count(workers, WorkerRole.PREFILL) > 0 && count(workers, WorkerRole.DECODE) > 0;
	}

	static int count(List<Worker> workers, WorkerRole role) {
		return (int) workers.stream().filter((worker) -> worker.role() == role).count();
	}

	static int targetCellCount(int workerCount) {
		return (workerCount <= MAX_WORKERS) ? 1 : (workerCount + TARGET_WORKERS - 1) / TARGET_WORKERS;
	}

	/**
	 * Consistent hash ring of the cells of an upstream. Immutable.
	 */
	private static final class HashRing {

		private final long[] points;

		private final Cell[] cells;

		HashRing(List<Cell> cells) {
			Map<Long, Cell> byPoint = new TreeMap<>();
			for (Cell cell : cells) {
				for (int i = 0; i < RING_POINTS_PER_CELL; i++) {
					byPoint.put(HASH.hashChars(cell.id() + "#" + i), cell);
				}
			}
			this.points = byPoint.keySet().stream().mapToLong(Long::longValue).toArray();
			this.cells = byPoint.values().toArray(new Cell[0]);
		}

		Cell cellFor(long key) {
			int index = Arrays.binarySearch(this.points, HASH.hashLong(key));
			int next = (index >= 0) ? index : -index - 1;
			return this.cells[(next < this.cells.length) ? next : 0];
		}

	}

}
