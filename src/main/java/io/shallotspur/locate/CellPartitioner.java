package io.shallotspur.locate;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.openhft.hashing.LongHashFunction;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * Partitions workers into cells. Every VM computes the same cells from the same workers,
 * and adding or removing a worker moves few others. Stateless.
 * <p>
 * An upstream with at most {@link #MAX_WORKERS} workers is a single cell even if it spans
 * several halls, so that one owner has an exact view of all its workers. The workers of a
 * larger model are partitioned by {@link io.shallotspur.routing.CellLayout}, so that each
 * cell has both roles and stays within one hall where possible; those of a larger plain
 * service are distributed evenly.
 */
public final class CellPartitioner {

	/**
	 * Maximum number of workers in a cell.
	 */
	public static final int MAX_WORKERS = io.shallotspur.routing.CellLayout.MAX_WORKERS;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private static final Comparator<Worker> BY_ID = Comparator.comparing(Worker::id);

	private CellPartitioner() {
	}

	/**
	 * Partitions workers into cells.
	 * @param workers all workers
	 * @return the cells in order of their names
	 */
	public static List<CellDefinition> partition(Collection<Worker> workers) {
		Map<String, List<Worker>> byUpstream = new TreeMap<>();
		workers.forEach((w) -> byUpstream.computeIfAbsent(w.upstream(), (u) -> new ArrayList<>()).add(w));
		List<CellDefinition> cells = new ArrayList<>();
		byUpstream.forEach((upstream, list) -> partitionUpstream(upstream, list, cells));
		return List.copyOf(cells);
	}

	private static void partitionUpstream(String upstream, List<Worker> workers, List<CellDefinition> out) {
		if (workers.size() <= MAX_WORKERS) {
			out.add(newCell(upstream, upstream, workers));
		}
		else if (workers.stream().anyMatch((w) -> w.role() == WorkerRole.PLAIN)) {
			partitionPlain(upstream, workers, out);
		}
		else {
			io.shallotspur.routing.CellLayout.of(workers)
				.cells()
				.forEach((c) -> out.add(newCell(c.id(), upstream, c.workers())));
		}
	}

	private static void partitionPlain(String upstream, List<Worker> workers, List<CellDefinition> out) {
		int count = (workers.size() + MAX_WORKERS - 1) / MAX_WORKERS;
		int capacity = (workers.size() + count - 1) / count;
		List<List<Worker>> cells = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			cells.add(new ArrayList<>());
		}
		int[] sizes = new int[count];
		workers.stream().sorted(BY_ID).forEach((w) -> cells.get(assign(w, sizes, capacity)).add(w));
		for (int i = 0; i < count; i++) {
			out.add(newCell(upstream + "/" + i, upstream, cells.get(i)));
		}
	}

	private static int assign(Worker w, int[] sizes, int capacity) {
		int best = -1;
		long bestScore = 0;
		long id = HASH.hashChars(w.id());
		for (int i = 0; i < sizes.length; i++) {
			long score = HASH.hashLong(id + i);
			if (sizes[i] < capacity && (best < 0 || score > bestScore)) {
				best = i;
				bestScore = score;
			}
		}
		sizes[best]++;
		return best;
	}

	private static CellDefinition newCell(String name, String upstream, List<Worker> workers) {
		return new CellDefinition(name, upstream, workers.stream().sorted(BY_ID).toList());
	}

}
