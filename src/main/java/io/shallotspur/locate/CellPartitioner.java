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
 * Divides workers into cells. Every VM computes the same cells from the same workers, and
 * a worker more or less moves few others. Stateless.
 * <p>
 * An upstream with at most {@link #MAX_WORKERS} workers is one cell, whatever the halls:
 * one owner then knows all of it exactly. The workers of a larger model are divided by
 * {@link io.shallotspur.routing.CellLayout}, so that each cell has both roles and keeps
 * within a hall where it can; those of a larger plain service are spread evenly.
 */
public final class CellPartitioner {

	/**
	 * The most workers in a cell.
	 */
	public static final int MAX_WORKERS = io.shallotspur.routing.CellLayout.MAX_WORKERS;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private static final Comparator<Worker> BY_ID = Comparator.comparing(Worker::id);

	private CellPartitioner() {
	}

	/**
	 * Divides workers into cells.
	 * @param workers all workers
	 * @return the cells in order of their names
	 */
	public static List<CellDefinition> partition(Collection<Worker> workers) {
		Map<String, List<Worker>> byUpstream = new TreeMap<>();
		workers.forEach((w) -> byUpstream.computeIfAbsent(w.upstream(), (u) -> new ArrayList<>()).add(w));
		List<CellDefinition> cells = new ArrayList<>();
		byUpstream.forEach((upstream, list) -> divide(upstream, list, cells));
		return List.copyOf(cells);
	}

	private static void divide(String upstream, List<Worker> workers, List<CellDefinition> out) {
		if (workers.size() <= MAX_WORKERS) {
			out.add(cell(upstream, upstream, workers));
		}
		else if (workers.stream().anyMatch((w) -> w.role() == WorkerRole.PLAIN)) {
			dividePlain(upstream, workers, out);
		}
		else {
			io.shallotspur.routing.CellLayout.of(workers)
				.cells()
				.forEach((c) -> out.add(cell(c.id(), upstream, c.workers())));
		}
	}

	private static void dividePlain(String upstream, List<Worker> workers, List<CellDefinition> out) {
		int count = (workers.size() + MAX_WORKERS - 1) / MAX_WORKERS;
		int room = (workers.size() + count - 1) / count;
		List<List<Worker>> cells = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			cells.add(new ArrayList<>());
		}
		int[] taken = new int[count];
		workers.stream().sorted(BY_ID).forEach((w) -> cells.get(preferred(w, taken, room)).add(w));
		for (int i = 0; i < count; i++) {
			out.add(cell(upstream + "/" + i, upstream, cells.get(i)));
		}
	}

	private static int preferred(Worker w, int[] taken, int room) {
		int best = -1;
		long high = 0;
		long id = HASH.hashChars(w.id());
		for (int i = 0; i < taken.length; i++) {
			long s = HASH.hashLong(id + i);
			if (taken[i] < room && (best < 0 || s > high)) {
				best = i;
				high = s;
			}
		}
		taken[best]++;
		return best;
	}

	private static CellDefinition cell(String name, String upstream, List<Worker> workers) {
		return new CellDefinition(name, upstream, workers.stream().sorted(BY_ID).toList());
	}

}
