package io.shallotspur.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.WorkerInfo;

/**
 * Brings what the registry tells into force: configuration, workers, entry VMs, the duty,
 * what other VMs have seen. Not thread-safe; confined to the gateway's thread.
 */
final class ChangeApplier {

	// Entries of other writers whose causes are remembered; beyond it they are logged
	// again.
	private static final int MOST_CAUSES = 1_000;

	private final Gateway gateway;

	// Why entries could not be read, by key.
	private final Map<String, String> causes = new HashMap<>();

	private String ownKey = "";

	private Runnable onOwnGone = () -> {
	};

	private @Nullable Leadership duty;

	private final RecentDepartures departures = new RecentDepartures();

	private long unsettledUntil = Long.MIN_VALUE;

	private Consumer<RegistryChange.EngineStatsUpdated> figures = (f) -> {
	};

	private LongConsumer onSettled = (e) -> {
	};

	ChangeApplier(Gateway gateway) {
		this.gateway = gateway;
	}

	void own(String key, Runnable onGone) {
		this.ownKey = key;
		this.onOwnGone = onGone;
	}

	void duty(Leadership d) {
		this.duty = d;
	}

	void figures(Consumer<RegistryChange.EngineStatsUpdated> then) {
		this.figures = then;
	}

	void settled(LongConsumer then) {
		this.onSettled = then;
	}

	/**
	 * Takes that the store has come back from an older copy.
	 * @param now the present time in milliseconds
	 */
	void restored(long now) {
		if (this.duty != null) {
			this.duty.onStoreRestored(now);
		}
	}

	/**
	 * Says that the store may show workers as they were before they left.
	 * @param until until when, in milliseconds
	 */
	void unsettledUntil(long until) {
		this.unsettledUntil = until;
	}

	boolean holdsDuty() {
		return this.duty != null && this.duty.isLeader();
	}

	/**
	 * Takes changes in their order.
	 * @param news the changes
	 * @param graces until when what is gone is still used
	 * @param now the present time in milliseconds
	 */
	void changes(RegistryUpdate news, Graces graces, long now) {
		news.changes().forEach((c) -> apply(c, news.position(), graces, now));
	}

	/**
	 * Takes a whole listing: what it lacks is gone.
	 * @param news all entries
	 * @param again whether there was a listing before
	 * @param graces until when what is gone is still used
	 * @param now the present time in milliseconds
	 */
	void listing(RegistryUpdate news, boolean again, Graces graces, long now) {
		Set<String> workers = new HashSet<>();
		Set<String> vms = new HashSet<>();
		Set<String> marked = new HashSet<>();
		RegistryChange.LeaderElected holder = null;
		changes(news, graces, now);
		for (RegistryChange c : news.changes()) {
			if (c instanceof RegistryChange.WorkerUpdated w) {
				workers.add(w.worker().id());
			}
			else if (c instanceof RegistryChange.VmUpdated v) {
				vms.add(v.vm().key());
			}
			else if (c instanceof RegistryChange.StageChangeAnnounced m) {
				marked.add(m.worker());
			}
			else if (c instanceof RegistryChange.LeaderElected d) {
				holder = d;
			}
		}
		dutySeen(holder, now);
		this.gateway.roster().retainStageChanges(marked);
		boolean ownGone = !vms.contains(this.ownKey);
		vms.add(this.ownKey);
		lost(workers, graces, now);
		this.gateway.roster().retainEntries(workers, graces.workerUntil());
		this.gateway.entryVms().retain(vms, graces.vmUntil());
		Logger.info("[registry] listed point={} workers={} vms={}", news.position(), workers.size(), vms.size());
		if (again && ownGone) {
			this.onOwnGone.run();
		}
	}

	// An older copy lacks workers that have come since; else, one that is missing has
	// left.
	private void lost(Set<String> listed, Graces graces, long now) {
		if (now >= this.unsettledUntil) {
			this.gateway.roster()
				.workerIds()
				.stream()
				.filter((id) -> !listed.contains(id))
				.forEach((id) -> gone(id, graces, now));
		}
	}

	// One whose entry may have lapsed is waited for, and has not left.
	private void gone(String id, Graces graces, long now) {
		if (graces.workerMs(now) == 0) {
			left(id, now);
		}
	}

	private void left(String id, long now) {
		this.departures.add(id, this.gateway.roster().startedAt(id), now);
	}

	private void apply(RegistryChange c, StorePosition known, Graces graces, long now) {
		if (c instanceof RegistryChange.ConfigUpdated e) {
			this.gateway.configure(e.table());
		}
		else if (c instanceof RegistryChange.WorkerUpdated e) {
			seen(e.worker(), known, now);
		}
		else if (c instanceof RegistryChange.EntryUnreadable e) {
			unreadable(e, known, now);
		}
		else if (c instanceof RegistryChange.WorkerRemoved e) {
			gone(e.id(), graces, now);
			this.gateway.roster().entryRemoved(e.id(), graces.workerUntil());
			Logger.info("[registry] worker={} gone grace-ms={} news-ms={} store-failed-ms={} point={}", e.id(),
					graces.workerMs(now), graces.newsMs(), graces.failedMs(), known);
		}
		else if (c instanceof RegistryChange.VmUpdated e) {
			this.gateway.entryVms().register(e.vm());
		}
		else if (c instanceof RegistryChange.VmRemoved e) {
			vmGone(e, known, graces, now);
		}
		else if (c instanceof RegistryChange.StageChangeAnnounced e) {
			this.gateway.roster().stageChangeAnnounced(e.worker(), e.stage());
		}
		else if (c instanceof RegistryChange.StageChangeWithdrawn e) {
			this.gateway.roster().stageChangeWithdrawn(e.worker());
		}
		else if (c instanceof RegistryChange.LeaderElected e) {
			dutySeen(e, now);
		}
		else if (c instanceof RegistryChange.EngineStatsUpdated e) {
			this.figures.accept(e);
		}
		else if (c instanceof RegistryChange.EraSettled e) {
			this.onSettled.accept(e.era());
		}
		else if (c instanceof RegistryChange.LeadershipVacant) {
			dutySeen(null, now);
		}
	}

	private void seen(WorkerInfo told, StorePosition known, long now) {
		boolean outdated = !told.draining() && now < this.unsettledUntil && this.departures.hasDeparted(told, now);
		WorkerInfo w = outdated ? told.asDraining() : told;
		this.gateway.roster().updateEntry(w, now);
		if (w.draining()) {
			left(w.id(), now);
		}
		else {
			this.departures.remove(w.id());
		}
		Logger.info("[registry] worker={} upstream={} stage={} leaving={} outdated={} point={}", w.id(), w.upstream(),
				w.stage(), w.draining(), outdated, known);
	}

	// Whatever stood there before, the entry names no worker to use now. Each listing
	// brings it again; one line for each cause is enough.
	private void unreadable(RegistryChange.EntryUnreadable e, StorePosition known, long now) {
		if (e.worker() != null) {
			this.gateway.roster().entryRemoved(e.worker(), now);
		}
		if (this.causes.size() >= MOST_CAUSES) {
			this.causes.clear();
		}
		if (!e.cause().equals(this.causes.put(e.key(), e.cause()))) {
			Logger.warn("[registry] entry left aside key={} point={} seen=\"{}\"", e.key(), known, e.cause());
		}
	}

	private void dutySeen(RegistryChange.@Nullable LeaderElected holder, long now) {
		if (this.duty != null) {
			this.duty.onLeader(holder, now);
		}
	}

	private void vmGone(RegistryChange.VmRemoved e, StorePosition known, Graces graces, long now) {
		Logger.info("[registry] vm={} gone point={}", e.key(), known);
		if (e.key().equals(this.ownKey)) {
			this.onOwnGone.run();
		}
		else {
			this.gateway.entryVms().deregister(e.key(), graces.vmUntil());
		}
	}

	/**
	 * Until when what is gone from the registry is still used. Immutable.
	 *
	 * @param workerUntil for a worker, on the gateway's clock in milliseconds; past if it
	 * is not
	 * @param vmUntil for an entry VM, in the same way
	 * @param newsMs how old the news may be, in milliseconds
	 * @param failedMs how long ago the store last failed, in milliseconds
	 */
	record Graces(long workerUntil, long vmUntil, long newsMs, long failedMs) {

		long workerMs(long now) {
			return Math.max(0, this.workerUntil - now);
		}

	}

}
