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
public final class WorkerDirectory {

	private final Map<String, WorkerState> byId = new LinkedHashMap<>();

	private final Map<String, OutlierDetector> outlierDetectors = new HashMap<>();

	// What workers are announced to change over to. While one does, it refuses, and a
	// refused prefill is the only attempt that some routes have.
	private final Map<String, WorkerStage> announcedStages = new HashMap<>();

	/**
	 * Takes a worker's entry in the registry. A worker that has started again under its
	 * id knows nothing of before: all that was known of it ends, and requests under way
	 * there end as a crash ends them. An entry from before its start, which came late or
	 * from a stale read, changes nothing.
	 * @param info the entry
	 * @param now the present time in milliseconds
	 */
	public void updateEntry(WorkerInfo info, long now) {
		WorkerState known = this.byId.get(info.id());
		if (known != null && known.info().isRestartOf(info)) {
			return;
		}
		if (known != null && !info.isRestartOf(known.info())) {
			known.update(info, now);
			return;
		}
		this.byId.put(info.id(), new WorkerState(info, now));
		if (known != null) {
			known.terminate();
			outlierDetector(known.info().upstream()).removeWorker(info.id());
		}
		outlierDetector(info.upstream()).addWorker(info.id());
	}

	/**
	 * Tells whether a worker is still in the life in which it was last seen. What it held
	 * for a request, a place or a KV cache, ended with that.
	 * @param info the worker as it was seen
	 * @return {@code false} if it has started again since
	 */
	boolean isCurrentInstance(WorkerInfo info) {
		WorkerState s = this.byId.get(info.id());
		return s == null || !s.info().isRestartOf(info);
	}

	/**
	 * Takes the removal of a worker's entry.
	 * @param id the worker
	 * @param graceEnd until when the worker may still be used, in milliseconds, the
	 * present or a past time if not at all: entries that lapsed while the registry was
	 * away come back if the worker lives
	 */
	public void entryRemoved(String id, long graceEnd) {
		WorkerState s = this.byId.get(id);
		if (s != null) {
			s.scheduleRemoval(graceEnd);
		}
	}

	/**
	 * Waits longer for workers whose entries are gone and may come back.
	 * @param now the present time in milliseconds
	 * @param graceEnd until when those that are still used may be, in milliseconds
	 */
	public void extendGracePeriods(long now, long graceEnd) {
		this.byId.values().forEach((s) -> s.postponeRemoval(now, graceEnd));
	}

	/**
	 * Takes that another incarnation answers at a worker's address. The registry tells so
	 * only seconds later; until then each request sent there would come back unrun. A
	 * worker that has changed over meanwhile answers in the same way and is kept.
	 * @param id the worker that was meant
	 * @param expectedStage the stage for which it was asked
	 * @param now the present time in milliseconds
	 */
	void instanceReplaced(String id, WorkerStage expectedStage, long now) {
		WorkerState s = this.byId.get(id);
		if (s != null && s.info().stage() == expectedStage) {
			entryRemoved(id, now);
		}
	}

	/**
	 * Takes the announcement that a worker changes over.
	 * @param id the worker
	 * @param stage what it is going to do
	 */
	public void stageChangeAnnounced(String id, WorkerStage stage) {
		this.announcedStages.put(id, stage);
	}

	/**
	 * Takes that nothing is announced for a worker any more.
	 * @param id the worker
	 */
	public void stageChangeWithdrawn(String id) {
		this.announcedStages.remove(id);
	}

	/**
	 * Takes a whole listing: announcements that it lacks are no more.
	 * @param ids the workers for which something is announced
	 */
	public void retainStageChanges(Set<String> ids) {
		this.announcedStages.keySet().retainAll(ids);
	}

	/**
	 * Returns the workers of an upstream that want requests and can be reached, those
	 * that change over as what they are going to be.
	 * @param upstream the upstream
	 * @param now the present time in milliseconds
	 * @return their entries
	 */
	public List<WorkerInfo> activeWorkers(String upstream, long now) {
		removeExpired(now);
		return this.byId.values()
			.stream()
			.filter((s) -> s.info().upstream().equals(upstream) && !s.info().draining() && s.isReachable(now))
			.map((s) -> s.info().withStage(this.announcedStages.getOrDefault(s.info().id(), s.info().stage())))
			.toList();
	}

	/**
	 * Returns all workers that are known, those included that leave.
	 * @return a copy of their ids
	 */
	public Set<String> workerIds() {
		return Set.copyOf(this.byId.keySet());
	}

	/**
	 * Returns when a worker started.
	 * @param id the worker
	 * @return the time in Unix milliseconds; 0 if it does not say, or is not known
	 */
	public long startedAt(String id) {
		WorkerState s = this.byId.get(id);
		return (s != null) ? s.info().startedAt() : 0;
	}

	private boolean isChangingStage(WorkerInfo i) {
		WorkerStage next = this.announcedStages.get(i.id());
		return next != null && next != i.stage();
	}

	/**
	 * Takes a whole listing of the registry: workers that it lacks have vanished.
	 * @param ids the ids of all entries
	 * @param graceEnd as in {@link #entryRemoved}
	 */
	public void retainEntries(Set<String> ids, long graceEnd) {
		for (String id : this.byId.keySet()) {
			if (!ids.contains(id)) {
				entryRemoved(id, graceEnd);
			}
		}
	}

	/**
	 * Returns how many workers are known that have not vanished.
	 * @param now the present time in milliseconds
	 * @return the number of workers
	 */
	public int size(long now) {
		removeExpired(now);
		return this.byId.size();
	}

	// Workers that fail or lag are left out unless all others are.
	List<WorkerState> candidates(String upstream, Set<WorkerStage> stages, Set<String> excluded, long now) {
		removeExpired(now);
		List<WorkerState> all = new ArrayList<>();
		List<WorkerState> healthy = new ArrayList<>();
		OutlierDetector d = outlierDetector(upstream);
		for (WorkerState s : this.byId.values()) {
			WorkerInfo i = s.info();
			if (!i.upstream().equals(upstream) || i.draining() || !stages.contains(i.stage())
					|| excluded.contains(i.id()) || isChangingStage(i)) {
				continue;
			}
			all.add(s);
			if (s.isReachable(now) && d.health(i.id(), now) != WorkerHealth.EJECTED) {
				healthy.add(s);
			}
		}
		return healthy.isEmpty() ? all : healthy;
	}

	OutlierDetector outlierDetector(String upstream) {
		return this.outlierDetectors.computeIfAbsent(upstream, (u) -> new OutlierDetector());
	}

	private void removeExpired(long now) {
		this.byId.values().removeIf((s) -> {
			if (!s.isRemoved(now)) {
				return false;
			}
			outlierDetector(s.info().upstream()).removeWorker(s.info().id());
			return true;
		});
	}

}
