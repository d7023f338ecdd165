package io.shallotspur.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.route.RouteTable;

/**
 * Applies registry changes to the gateway: configuration, workers, entry VMs, leadership
 * and the engine statistics that other VMs publish. Not thread-safe; confined to the
 * gateway's thread.
 */
final class ChangeApplier {

	// Maximum number of unreadable entries whose error is remembered. The map is cleared
	// at this size, and the errors are logged again.
	private static final int MAX_REMEMBERED_ERRORS = 1_000;

	private final Gateway gateway;

	// The last logged error of each unreadable entry, by key.
	private final Map<String, String> loggedErrors = new HashMap<>();

	private String ownKey = "";

	private Runnable onOwnRemoved = () -> {
	};

	private @Nullable Leadership leadership;

	private final RecentDepartures departures = new RecentDepartures();

	private long unsettledUntil = Long.MIN_VALUE;

	private Consumer<RegistryChange.EngineStatsUpdated> statsListener = (s) -> {
	};

	private Consumer<List<SuspectReport>> suspectsListener = (l) -> {
	};

	private Consumer<RegistryChange.VersionsAnnounced> versionsListener = (v) -> {
	};

	private Consumer<WorkerInfo> workerListener = (w) -> {
	};

	private LongConsumer settledListener = (e) -> {
	};

	ChangeApplier(Gateway gateway) {
		this.gateway = gateway;
	}

	void setOwnRegistration(String key, Runnable onRemoved) {
		this.ownKey = key;
		this.onOwnRemoved = onRemoved;
	}

	void setLeadership(Leadership l) {
		this.leadership = l;
	}

	void setStatsListener(Consumer<RegistryChange.EngineStatsUpdated> listener) {
		this.statsListener = listener;
	}

	void setSuspectsListener(Consumer<List<SuspectReport>> listener) {
		this.suspectsListener = listener;
	}

	void setVersionListeners(Consumer<RegistryChange.VersionsAnnounced> announced, Consumer<WorkerInfo> worker) {
		this.versionsListener = announced;
		this.workerListener = worker;
	}

	void setSettledListener(LongConsumer listener) {
		this.settledListener = listener;
	}

	/**
	 * Handles a restore of the store from an older snapshot.
	 * @param now the current time in milliseconds
	 */
	void onStoreRestored(long now) {
		if (this.leadership != null) {
			this.leadership.onStoreRestored(now);
		}
	}

	/**
	 * Sets the end of the period in which the store may show outdated worker entries.
	 * Until then, workers known to have departed stay departed.
	 * @param until the end of the period, in milliseconds
	 */
	void setUnsettledUntil(long until) {
		this.unsettledUntil = until;
	}

	boolean isLeader() {
		return this.leadership != null && this.leadership.isLeader();
	}

	/**
	 * Applies changes in their order.
	 * @param update the changes
	 * @param graces until when removed workers and VMs are still used
	 * @param now the current time in milliseconds
	 */
	void applyChanges(RegistryUpdate update, GracePeriods graces, long now) {
		update.changes().forEach((c) -> apply(c, update.position(), graces, now));
	}

	/**
	 * Applies a complete listing. Known entries that are missing from it were removed.
	 * @param update all entries
	 * @param relisted whether an earlier listing was applied
	 * @param graces until when removed workers and VMs are still used
	 * @param now the current time in milliseconds
	 */
	void applyListing(RegistryUpdate update, boolean relisted, GracePeriods graces, long now) {
		Set<String> workers = new HashSet<>();
		Set<String> vms = new HashSet<>();
		Set<String> announced = new HashSet<>();
		RegistryChange.LeaderElected leader = null;
		applyChanges(update, graces, now);
		for (RegistryChange c : update.changes()) {
			if (c instanceof RegistryChange.WorkerUpdated w) {
				workers.add(w.worker().id());
			}
			else if (c instanceof RegistryChange.VmUpdated v) {
				vms.add(v.vm().key());
			}
			else if (c instanceof RegistryChange.StageChangeAnnounced a) {
				announced.add(a.worker());
			}
			else if (c instanceof RegistryChange.LeaderElected l) {
				leader = l;
			}
		}
		updateLeader(leader, now);
		this.gateway.roster().retainStageChanges(announced);
		boolean ownRemoved = !vms.contains(this.ownKey);
		vms.add(this.ownKey);
		recordMissingWorkers(workers, graces, now);
		this.gateway.roster().retainEntries(workers, graces.workerEndsAt());
		this.gateway.entryVms().retain(vms, graces.vmEndsAt());
		Logger.info("[registry] listed point={} workers={} vms={}", update.position(), workers.size(), vms.size());
		if (relisted && ownRemoved) {
			this.onOwnRemoved.run();
		}
	}

	// For some time after a restore, a worker may be missing only because it registered
	// after the snapshot was taken. Otherwise, a missing worker has departed.
	private void recordMissingWorkers(Set<String> listed, GracePeriods graces, long now) {
		if (now >= this.unsettledUntil) {
			this.gateway.roster()
				.workerIds()
				.stream()
				.filter((id) -> !listed.contains(id))
				.forEach((id) -> recordRemoval(id, graces, now));
		}
	}

	// During the grace period, the entry may have expired although the worker is alive:
	// the worker is not recorded as departed.
	private void recordRemoval(String id, GracePeriods graces, long now) {
		if (graces.workerRemainingMs(now) == 0) {
			recordDeparture(id, now);
		}
	}

	private void recordDeparture(String id, long now) {
		this.departures.add(id, this.gateway.roster().startedAt(id), now);
	}

	private void apply(RegistryChange c, StorePosition position, GracePeriods graces, long now) {
		if (c instanceof RegistryChange.ConfigUpdated e) {
			applyConfiguration(e.table(), position, graces);
		}
		else if (c instanceof RegistryChange.WorkerUpdated e) {
			updateWorker(e.worker(), position, now);
		}
		else if (c instanceof RegistryChange.EntryUnreadable e) {
			handleUnreadable(e, position, now);
		}
		else if (c instanceof RegistryChange.WorkerRemoved e) {
			recordRemoval(e.id(), graces, now);
			this.gateway.roster().entryRemoved(e.id(), graces.workerEndsAt());
			Logger.info("[registry] worker entry removed worker={} grace-ms={} news-ms={} store-failed-ms={} point={}",
					e.id(), graces.workerRemainingMs(now), graces.updateAgeMs(), graces.sinceFailureMs(), position);
		}
		else if (c instanceof RegistryChange.VmUpdated e) {
			this.gateway.entryVms().register(e.vm());
		}
		else if (c instanceof RegistryChange.VmRemoved e) {
			removeVm(e, position, graces, now);
		}
		else if (c instanceof RegistryChange.StageChangeAnnounced e) {
			this.gateway.roster().stageChangeAnnounced(e.worker(), e.stage());
		}
		else if (c instanceof RegistryChange.StageChangeWithdrawn e) {
			this.gateway.roster().stageChangeWithdrawn(e.worker());
		}
		else if (c instanceof RegistryChange.LeaderElected e) {
			updateLeader(e, now);
		}
		else if (c instanceof RegistryChange.EngineStatsUpdated e) {
			this.statsListener.accept(e);
		}
		else if (c instanceof RegistryChange.VersionsAnnounced e) {
			this.versionsListener.accept(e);
		}
		else if (c instanceof RegistryChange.SuspectsPublished e) {
			this.suspectsListener.accept(e.reports());
		}
		else if (c instanceof RegistryChange.EraSettled e) {
			this.settledListener.accept(e.era());
		}
		else if (c instanceof RegistryChange.LeadershipVacant) {
			updateLeader(null, now);
		}
	}

	private void applyConfiguration(RouteTable t, StorePosition position, GracePeriods graces) {
		long known = this.gateway.routeTable().map(RouteTable::version).orElse(0L);
		if (this.gateway.configure(t)) {
			Logger.info("[config] taken version={} former={} point={} news-ms={}", t.version(), known, position,
					graces.updateAgeMs());
		}
		else if (t.version() < known) {
			Logger.warn("[config] older version not applied version={} known={} point={}", t.version(), known,
					position);
		}
	}

	private void updateWorker(WorkerInfo entry, StorePosition position, long now) {
		boolean outdated = !entry.draining() && now < this.unsettledUntil && this.departures.hasDeparted(entry, now);
		WorkerInfo w = outdated ? entry.asDraining() : entry;
		this.gateway.roster().updateEntry(w, now);
		this.workerListener.accept(w);
		if (w.draining()) {
			recordDeparture(w.id(), now);
		}
		else {
			this.departures.remove(w.id());
		}
		Logger.info("[registry] worker={} upstream={} version={} stage={} leaving={} outdated={} point={}", w.id(),
				w.upstream(), w.version(), w.stage(), w.draining(), outdated, position);
	}

	// An unreadable entry replaces the worker's former entry, so the worker is removed.
	// Each listing returns the entry again; it is logged only if the cause differs from
	// the one last logged for its key.
	private void handleUnreadable(RegistryChange.EntryUnreadable e, StorePosition position, long now) {
		if (e.worker() != null) {
			this.gateway.roster().entryRemoved(e.worker(), now);
		}
		if (this.loggedErrors.size() >= MAX_REMEMBERED_ERRORS) {
			this.loggedErrors.clear();
		}
		if (!e.cause().equals(this.loggedErrors.put(e.key(), e.cause()))) {
			Logger.warn("[registry] ignored unreadable entry key={} point={} seen=\"{}\"", e.key(), position,
					e.cause());
		}
	}

	private void updateLeader(RegistryChange.@Nullable LeaderElected leader, long now) {
		if (this.leadership != null) {
			this.leadership.onLeader(leader, now);
		}
	}

	private void removeVm(RegistryChange.VmRemoved e, StorePosition position, GracePeriods graces, long now) {
		Logger.info("[registry] VM entry removed vm={} point={}", e.key(), position);
		if (e.key().equals(this.ownKey)) {
			this.onOwnRemoved.run();
		}
		else {
			this.gateway.entryVms().deregister(e.key(), graces.vmEndsAt());
		}
	}

	/**
	 * Until when workers and VMs are still used after their entries were removed, and the
	 * times behind it for the log. Immutable.
	 *
	 * @param workerEndsAt when the grace period of a worker ends, on the gateway's clock
	 * in milliseconds; in the past if there is none
	 * @param vmEndsAt the same for an entry VM
	 * @param updateAgeMs maximum age of the changes, in milliseconds
	 * @param sinceFailureMs milliseconds since the store was last known to be unavailable
	 */
	record GracePeriods(long workerEndsAt, long vmEndsAt, long updateAgeMs, long sinceFailureMs) {

		long workerRemainingMs(long now) {
			return Math.max(0, this.workerEndsAt - now);
		}

	}

}
