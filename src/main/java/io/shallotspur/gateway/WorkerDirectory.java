package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import io.shallotspur.retry.OutlierDetector;
import io.shallotspur.retry.WorkerHealth;

/**
 * The workers of all upstreams that are known to this VM. Not thread-safe; confined to
 * the gateway's thread.
 * <p>
 * Invariants: a worker that is draining, has stated that it is leaving or is no longer
 * used is never a candidate. A worker whose entry is gone is still used until its grace
 * period ends. If its entry comes back after that, what the same instance stated before
 * still holds.
 */
public final class WorkerDirectory {

	// Entries that expired while the store was unavailable come back within seconds of
	// its return, and a restored store may show workers that have left long ago, ms.
	private static final long REMOVED_RETENTION_MS = 600_000;

	private static final int MAX_REMOVED = 10_000;

	private final Map<String, WorkerState> byId = new LinkedHashMap<>();

	// Workers that are no longer used, in the order of their removal.
	private final Map<String, WorkerState> removed = new LinkedHashMap<>();

	// The latest worker at each address, also if it is no longer used.
	private final Map<String, String> idByAddress = new HashMap<>();

	private @Nullable WorkerEndListener endListener;

	private final Map<String, OutlierDetector> outlierDetectors = new HashMap<>();

	// Announced stage changes by worker. While it changes, a worker refuses requests, and
	// a refused prefill is the only attempt that some routes have.
	private final Map<String, WorkerStage> announcedStages = new HashMap<>();

	/**
	 * Sets the listener for workers that may have ended.
	 * @param listener the listener
	 */
	void setEndListener(WorkerEndListener listener) {
		this.endListener = listener;
	}

	/**
	 * Applies a worker's entry in the registry. After a restart under the same id, the
	 * state of the earlier instance is discarded and its requests in progress end as in a
	 * crash. An entry from before the latest start, which was delayed or comes from a
	 * stale read, is ignored.
	 * @param info the entry
	 * @param now the present time in milliseconds
	 */
	public void updateEntry(WorkerInfo info, long now) {
		WorkerState known = state(info.id());
		if (known != null && known.info().isRestartOf(info)) {
			return;
		}
		boolean sameInstance = known != null && info.mayBeSameInstance(known.info());
		if (known == null) {
			notifyOfPredecessor(info);
		}
		this.idByAddress.put(info.address(), info.id());
		boolean inUse = this.byId.containsKey(info.id());
		this.removed.remove(info.id());
		this.byId.put(info.id(), sameInstance ? known : new WorkerState(info, now));
		if (sameInstance) {
			known.update(info, now);
		}
		else if (known != null) {
			notifyOfReplacement(known);
			known.terminate();
			outlierDetector(known.info().upstream()).removeWorker(info.id());
		}
		if (!sameInstance || !inUse) {
			outlierDetector(info.upstream()).addWorker(info.id());
		}
	}

	// A process that starts at the address of another one shows that the other has ended,
	// before its entry expires.
	private void notifyOfPredecessor(WorkerInfo info) {
		WorkerState predecessor = state(this.idByAddress.getOrDefault(info.address(), ""));
		if (predecessor != null && !predecessor.info().isRestartOf(info)) {
			notifyOfReplacement(predecessor);
		}
	}

	private void notifyOfReplacement(WorkerState s) {
		if (this.endListener != null) {
			this.endListener.onReplaced(s);
		}
	}

	private @Nullable WorkerState state(String id) {
		WorkerState s = this.byId.get(id);
		return (s != null) ? s : this.removed.get(id);
	}

	/**
	 * Returns the state of one instance of a worker.
	 * @param info the worker as it was described
	 * @return its state, also if its entry is gone; empty if it is not known or has
	 * restarted since
	 */
	Optional<WorkerState> instance(WorkerInfo info) {
		return Optional.ofNullable(state(info.id())).filter((s) -> s.info().mayBeSameInstance(info));
	}

	/**
	 * Tells whether the worker has not restarted since it was described. Reservations and
	 * KV caches of an earlier instance are lost.
	 * @param info the worker as it was described
	 * @return {@code false} if it has restarted since
	 */
	boolean isCurrentInstance(WorkerInfo info) {
		WorkerState s = state(info.id());
		return s == null || s.info().mayBeSameInstance(info);
	}

	/**
	 * Applies the removal of a worker's entry.
	 * @param id the worker
	 * @param graceEnd the time in milliseconds until which the worker may still be used;
	 * the present or a past time if it must not be used. Entries that expired while the
	 * registry was unavailable come back if the worker is alive.
	 */
	public void entryRemoved(String id, long graceEnd) {
		WorkerState s = this.byId.get(id);
		if (s != null) {
			s.scheduleRemoval(graceEnd);
			if (this.endListener != null) {
				this.endListener.onEntryRemoved(s);
			}
		}
	}

	/**
	 * Extends the grace periods of workers whose entries are gone and may come back.
	 * @param now the present time in milliseconds
	 * @param graceEnd the new end in milliseconds for those that are still in use
	 */
	public void extendGracePeriods(long now, long graceEnd) {
		this.byId.values().forEach((s) -> s.postponeRemoval(now, graceEnd));
	}

	/**
	 * Handles a response of another instance at a worker's address. The registry reports
	 * the change only seconds later, and until then each request sent there would come
	 * back unexecuted. A worker that has changed its stage meanwhile responds in the same
	 * way and is kept.
	 * @param id the worker that was addressed
	 * @param expectedStage the stage for which it was addressed
	 * @param now the present time in milliseconds
	 */
	void instanceReplaced(String id, WorkerStage expectedStage, long now) {
		WorkerState s = this.byId.get(id);
		if (s != null && s.info().stage() == expectedStage) {
			notifyOfReplacement(s);
			entryRemoved(id, now);
		}
	}

	/**
	 * Records the announcement that a worker changes its stage.
	 * @param id the worker
	 * @param stage the new stage
	 */
	public void stageChangeAnnounced(String id, WorkerStage stage) {
		this.announcedStages.put(id, stage);
	}

	/**
	 * Removes the announced stage change of a worker.
	 * @param id the worker
	 */
	public void stageChangeWithdrawn(String id) {
		this.announcedStages.remove(id);
	}

	/**
	 * Returns the workers that do not have the stage yet which was announced for them.
	 * @return their entries
	 */
	public List<WorkerInfo> changingStage() {
		return this.announcedStages.keySet()
			.stream()
			.flatMap((id) -> find(id).stream())
			.map(WorkerState::info)
			.filter(this::isChangingStage)
			.toList();
	}

	/**
	 * Applies a full listing: announcements that it lacks are removed.
	 * @param ids the workers with an announced stage change
	 */
	public void retainStageChanges(Set<String> ids) {
		this.announcedStages.keySet().retainAll(ids);
	}

	/**
	 * Returns the workers of an upstream that accept requests and can be reached. Workers
	 * with an announced stage change are returned with the new stage.
	 * @param upstream the upstream
	 * @param now the present time in milliseconds
	 * @return their entries
	 */
	public List<WorkerInfo> activeWorkers(String upstream, long now) {
		removeExpired(now);
		return active(upstream, now).filter((s) -> s.isReachable(now))
			.map((s) -> s.info().withStage(this.announcedStages.getOrDefault(s.info().id(), s.info().stage())))
			.toList();
	}

	/**
	 * Returns the versions of the known workers of an upstream, those included that are
	 * draining.
	 * @param upstream the upstream
	 * @return the versions
	 */
	public Set<String> versions(String upstream) {
		return this.byId.values()
			.stream()
			.map(WorkerState::info)
			.filter((w) -> w.upstream().equals(upstream))
			.map(WorkerInfo::version)
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the number of workers of an upstream that accept requests, whether or not
	 * they can be reached.
	 * @param upstream the upstream
	 * @param now the present time in milliseconds
	 * @return the number of workers
	 */
	long activeCount(String upstream, long now) {
		return active(upstream, now).count();
	}

	/**
	 * Returns the number of workers of an upstream that accept requests but cannot be
	 * reached from this VM.
	 * @param upstream the upstream
	 * @param now the present time in milliseconds
	 * @return the number of workers
	 */
	long unreachableCount(String upstream, long now) {
		return active(upstream, now).filter((s) -> !s.isReachable(now)).count();
	}

	private Stream<WorkerState> active(String upstream, long now) {
		return this.byId.values().stream().filter((s) -> s.info().upstream().equals(upstream) && s.isActive(now));
	}

	/**
	 * Returns all known workers, including those that are draining.
	 * @return a copy of their ids
	 */
	public Set<String> workerIds() {
		return Set.copyOf(this.byId.keySet());
	}

	/**
	 * Returns when a worker started.
	 * @param id the worker
	 * @return the time in Unix milliseconds; 0 if it does not report it, or is not known
	 */
	public long startedAt(String id) {
		WorkerState s = this.byId.get(id);
		return (s != null) ? s.info().startedAt() : 0;
	}

	/**
	 * Tells whether a state is the one of a worker that is in use.
	 * @param w the state
	 * @param now the present time in milliseconds
	 * @return {@code false} if the worker is gone or has restarted
	 */
	boolean isCurrent(WorkerState w, long now) {
		return this.byId.get(w.info().id()) == w && !w.isRemoved(now);
	}

	/**
	 * Returns the worker with an id.
	 * @param id the id
	 * @return its state, or empty if it is not in use
	 */
	Optional<WorkerState> find(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	private boolean isChangingStage(WorkerInfo i) {
		WorkerStage next = this.announcedStages.get(i.id());
		return next != null && next != i.stage();
	}

	/**
	 * Applies a full listing of the registry: workers that it lacks are treated as if
	 * their entries had been removed one by one.
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
	 * Returns the number of workers that are still used or draining. Workers whose
	 * entries are gone count until their grace periods end.
	 * @param now the present time in milliseconds
	 * @return the number of workers
	 */
	public int size(long now) {
		removeExpired(now);
		return this.byId.size();
	}

	/**
	 * Returns for how long a worker must not be sent anything.
	 * @param info the worker as it was described
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it has not asked for a pause
	 */
	public long pauseRemainingMs(WorkerInfo info, long now) {
		return instance(info).map((s) -> s.pauseRemainingMs(now)).orElse(0L);
	}

	// Leaves out workers that fail, are unreachable or slow, unless all others are or
	// have asked for a pause.
	List<WorkerState> candidates(String upstream, Set<WorkerStage> stages, Predicate<WorkerInfo> eligible, long now) {
		removeExpired(now);
		List<WorkerState> all = new ArrayList<>();
		List<WorkerState> healthy = new ArrayList<>();
		OutlierDetector d = outlierDetector(upstream);
		for (WorkerState s : this.byId.values()) {
			WorkerInfo i = s.info();
			if (!i.upstream().equals(upstream) || !s.isActive(now) || !stages.contains(i.stage()) || !eligible.test(i)
					|| isChangingStage(i)) {
				continue;
			}
			all.add(s);
			if (s.isReachable(now) && d.health(i.id(), now) != WorkerHealth.EJECTED) {
				healthy.add(s);
			}
		}
		return healthy.stream().allMatch((s) -> s.pauseRemainingMs(now) > 0) ? all : healthy;
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
			rememberRemoved(s, now);
			return true;
		});
	}

	private void rememberRemoved(WorkerState s, long now) {
		this.removed.put(s.info().id(), s);
		Iterator<WorkerState> eldestFirst = this.removed.values().iterator();
		while (eldestFirst.hasNext()) {
			WorkerState eldest = eldestFirst.next();
			if (!eldest.isRemoved(now - REMOVED_RETENTION_MS) && this.removed.size() <= MAX_REMOVED) {
				return;
			}
			eldestFirst.remove();
			this.idByAddress.remove(eldest.info().address(), eldest.info().id());
		}
	}

}
