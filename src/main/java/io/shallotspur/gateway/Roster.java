package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.shallotspur.retry.OutlierDetector;
import io.shallotspur.retry.WorkerHealth;

/**
 * The workers of all upstreams as this VM knows them. Not thread-safe; confined to the
 * gateway's thread.
 * <p>
 * Invariant: a worker that is leaving or gone is never a candidate.
 */
public final class Roster {

	private final Map<String, WorkerState> byId = new LinkedHashMap<>();

	private final Map<String, OutlierDetector> outliers = new HashMap<>();

	/**
	 * Takes a worker's entry in the registry.
	 * @param info the entry
	 * @param now the present time in milliseconds
	 */
	public void seen(WorkerInfo info, long now) {
		WorkerState s = this.byId.get(info.id());
		if (s != null) {
			s.update(info, now);
			return;
		}
		this.byId.put(info.id(), new WorkerState(info, now));
		detector(info.upstream()).added(info.id());
	}

	/**
	 * Takes the removal of a worker's entry.
	 * @param id the worker
	 * @param now the present time in milliseconds
	 * @param graceMs how long the worker may still be used, in milliseconds: entries that
	 * lapsed while the registry was away come back if the worker lives
	 */
	public void vanished(String id, long now, long graceMs) {
		WorkerState s = this.byId.get(id);
		if (s != null) {
			s.vanishesAt(now + graceMs);
		}
	}

	/**
	 * Takes that another incarnation answers at a worker's address. The registry tells so
	 * only seconds later; until then each request sent there would come back unrun.
	 * @param id the worker that was meant
	 * @param now the present time in milliseconds
	 */
	void replaced(String id, long now) {
		vanished(id, now, 0);
	}

	/**
	 * Takes a whole listing of the registry: workers that it lacks have vanished.
	 * @param ids the ids of all entries
	 * @param now the present time in milliseconds
	 * @param graceMs as in {@link #vanished}
	 */
	public void retain(Set<String> ids, long now, long graceMs) {
		for (String id : this.byId.keySet()) {
			if (!ids.contains(id)) {
				vanished(id, now, graceMs);
			}
		}
	}

	/**
	 * Returns how many workers are known that have not vanished.
	 * @param now the present time in milliseconds
	 * @return the number of workers
	 */
	public int size(long now) {
		sweep(now);
		return this.byId.size();
	}

	// Workers that fail or lag are left out unless all others are.
	List<WorkerState> candidates(String upstream, Set<WorkerStage> stages, Set<String> tried, long now) {
		sweep(now);
		List<WorkerState> all = new ArrayList<>();
		List<WorkerState> well = new ArrayList<>();
		OutlierDetector d = detector(upstream);
		for (WorkerState s : this.byId.values()) {
			WorkerInfo i = s.info();
			if (!i.upstream().equals(upstream) || i.leaving() || !stages.contains(i.stage())
					|| tried.contains(i.id())) {
				continue;
			}
			all.add(s);
			if (s.reachable(now) && d.health(i.id(), now) != WorkerHealth.OUT) {
				well.add(s);
			}
		}
		return well.isEmpty() ? all : well;
	}

	OutlierDetector detector(String upstream) {
		return this.outliers.computeIfAbsent(upstream, (u) -> new OutlierDetector());
	}

	private void sweep(long now) {
		this.byId.values().removeIf((s) -> {
			if (!s.vanished(now)) {
				return false;
			}
			detector(s.info().upstream()).removed(s.info().id());
			return true;
		});
	}

}
