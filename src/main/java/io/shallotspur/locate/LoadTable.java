package io.shallotspur.locate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest reported load of each cell. Loads older than {@link #MAX_AGE_MS} count as
 * unknown. Not thread-safe.
 */
public final class LoadTable {

	/**
	 * Maximum age of a load, in milliseconds.
	 */
	public static final long MAX_AGE_MS = 10_000;

	private final Map<String, LoadSample> loads = new HashMap<>();

	/**
	 * Stores a load if it was measured after the stored one.
	 * @param load the load
	 * @param now the current time in milliseconds
	 */
	public void recordIfNewer(CellLoad load, long now) {
		long measuredAt = now - load.ageMs();
		LoadSample old = this.loads.get(load.cell());
		if (old == null || measuredAt > old.measuredAt()) {
			this.loads.put(load.cell(), new LoadSample(load.load(), measuredAt));
		}
	}

	/**
	 * Returns the load of a cell.
	 * @param cell the name of the cell
	 * @param now the current time in milliseconds
	 * @return the load, or 0 if it is unknown
	 */
	public double load(String cell, long now) {
		LoadSample s = this.loads.get(cell);
		return (s != null && now - s.measuredAt() <= MAX_AGE_MS) ? s.load() : 0;
	}

	/**
	 * Returns the most recently measured loads and removes expired ones.
	 * @param count maximum number of loads
	 * @param now the current time in milliseconds
	 * @return the loads, most recent first
	 */
	public List<CellLoad> latest(int count, long now) {
		this.loads.values().removeIf((s) -> now - s.measuredAt() > MAX_AGE_MS);
		List<CellLoad> latest = new ArrayList<>();
		this.loads.forEach((cell, s) -> latest.add(new CellLoad(cell, s.load(), now - s.measuredAt())));
		latest.sort(Comparator.comparingLong(CellLoad::ageMs).thenComparing(CellLoad::cell));
		return List.copyOf(latest.subList(0, Math.min(count, latest.size())));
	}

	private record LoadSample(double load, long measuredAt) {

	}

}
