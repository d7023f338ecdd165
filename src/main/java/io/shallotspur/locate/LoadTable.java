package io.shallotspur.locate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The last load heard of each cell. Not thread-safe. What is older than {@link #MAX_AGE_MS}
 * counts as unknown.
 */
public final class LoadTable {

	/**
	 * How long a load counts, in milliseconds.
	 */
	public static final long MAX_AGE_MS = 10_000;

	private final Map<String, Heard> loads = new HashMap<>();

	/**
	 * Takes a load if it was measured after the one held.
	 * @param load the load
	 * @param now the present time in milliseconds
	 */
	public void recordIfNewer(CellLoad load, long now) {
		long at = now - load.ageMs();
		Heard old = this.loads.get(load.cell());
		if (old == null || at > old.at()) {
			this.loads.put(load.cell(), new Heard(load.load(), at));
		}
	}

	/**
	 * Returns the load of a cell.
	 * @param cell the name of the cell
	 * @param now the present time in milliseconds
	 * @return the load, or 0 if it is not known
	 */
	public double load(String cell, long now) {
		Heard h = this.loads.get(cell);
		return (h != null && now - h.at() <= MAX_AGE_MS) ? h.load() : 0;
	}

	/**
	 * Returns the loads that were measured last.
	 * @param count how many at most
	 * @param now the present time in milliseconds
	 * @return the loads
	 */
	public List<CellLoad> latest(int count, long now) {
		this.loads.values().removeIf((h) -> now - h.at() > MAX_AGE_MS);
		List<CellLoad> l = new ArrayList<>();
		this.loads.forEach((cell, h) -> l.add(new CellLoad(cell, h.load(), now - h.at())));
		l.sort(Comparator.comparingLong(CellLoad::ageMs).thenComparing(CellLoad::cell));
		return List.copyOf(l.subList(0, Math.min(count, l.size())));
	}

	private record Heard(double load, long at) {

	}

}
