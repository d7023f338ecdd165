package io.shallotspur.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.NopRegistry;
import io.shallotspur.registry.Registry;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.registry.RegistryUpdate;
import io.shallotspur.registry.StorePosition;

/**
 * One store in virtual time for several VMs, with leases and conditions, as far as the
 * leadership needs them. A call is carried out when it arrives, also if its caller is
 * stopped or has ended by then. Not thread-safe.
 */
final class SharedStore {

	static final String LEADER = "leader";

	private static final long HOP_MS = 2;

	private static final long TIMEOUT_MS = 1_000;

	private final ManualTimer timer;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private final Map<Long, Long> leaseEnds = new HashMap<>();

	private final List<Event> events = new ArrayList<>();

	private final List<Watch> watches = new ArrayList<>();

	private long revision = 10;

	private long lastLease;

	SharedStore(ManualTimer timer) {
		this.timer = timer;
	}

	void put(String key, RegistryChange change, @Nullable RegistryChange removal, long lease) {
		this.entries.put(key, new Entry(change, removal, this.revision + 1, lease));
		record(change);
	}

	private void remove(String key) {
		Entry e = this.entries.remove(key);
		if (e != null && e.removal() != null) {
			record(e.removal());
		}
	}

	private void record(RegistryChange c) {
		this.events.add(new Event(++this.revision, c));
		List<Watch> l = List.copyOf(this.watches);
		this.watches.clear();
		l.forEach((w) -> w.sink().success(changesAfter(w.after())));
	}

	private RegistryUpdate changesAfter(long after) {
		return new RegistryUpdate(new StorePosition(0, this.revision),
				this.events.stream().filter((e) -> e.revision() > after).map(Event::change).toList());
	}

	Optional<RegistryChange.LeaderElected> leader() {
		return Optional.ofNullable(this.entries.get(LEADER)).map((e) -> (RegistryChange.LeaderElected) e.change());
	}

	Optional<WorkerStage> announcedStage(String worker) {
		return Optional.ofNullable(this.entries.get("stages/" + worker))
			.map((e) -> ((RegistryChange.StageChangeAnnounced) e.change()).stage());
	}

	boolean isAnnounced(String worker) {
		return announcedStage(worker).isPresent();
	}

	private boolean isLeader(StorePosition electedAt) {
		return leader().filter((l) -> l.electedAt().equals(electedAt)).isPresent();
	}

	private boolean isAlive(long lease) {
		return this.leaseEnds.getOrDefault(lease, 0L) > this.timer.now();
	}

	private void renew(long lease, long ttlMs) {
		this.leaseEnds.put(lease, this.timer.now() + ttlMs);
		this.timer.schedule(ttlMs, () -> endIfDue(lease));
	}

	private void endIfDue(long lease) {
		if (!isAlive(lease)) {
			List.copyOf(this.entries.keySet())
				.stream()
				.filter((k) -> this.entries.get(k).lease() == lease)
				.forEach(this::remove);
		}
	}

	/**
	 * Returns the registry as one VM sees it.
	 * @param vm the VM
	 * @return its registry
	 */
	Registry viewOf(OrderFleet.Vm vm) {
		return new View(vm);
	}

	private record Entry(RegistryChange change, @Nullable RegistryChange removal, long revision, long lease) {

	}

	private record Event(long revision, RegistryChange change) {

	}

	private record Watch(long after, MonoSink<RegistryUpdate> sink) {

	}

	private final class View extends NopRegistry {

		private static final long LEASE_TTL_MS = 3_000;

		private final OrderFleet.Vm vm;

		private View(OrderFleet.Vm vm) {
			this.vm = vm;
		}

		// Carries the call out one hop later and answers after another, unless the path
		// to the store is cut meanwhile.
		private <T> Mono<T> call(Supplier<T> operation) {
			return Mono.create((sink) -> {
				SharedStore.this.timer.schedule(TIMEOUT_MS, () -> this.vm.run(() -> sink.error(unavailable())));
				SharedStore.this.timer.schedule(HOP_MS, () -> {
					if (!this.vm.isCutFromStore()) {
						T result = operation.get();
						SharedStore.this.timer.schedule(HOP_MS, () -> answer(sink, result));
					}
				});
			});
		}

		private <T> void answer(MonoSink<T> sink, T result) {
			if (!this.vm.isCutFromStore()) {
				this.vm.run(() -> sink.success(result));
			}
		}

		private static StoreUnavailableException unavailable() {
			return new StoreUnavailableException("unavailable", "test");
		}

		@Override
		public Mono<RegistryUpdate> list() {
			return call(() -> new RegistryUpdate(new StorePosition(0, SharedStore.this.revision),
					SharedStore.this.entries.values().stream().map(Entry::change).toList()));
		}

		@Override
		public Mono<RegistryUpdate> watch(StorePosition after, long waitMs) {
			return Mono.create((sink) -> {
				SharedStore.this.timer.schedule(Math.max(HOP_MS, waitMs),
						() -> this.vm.run(() -> sink.success(new RegistryUpdate(after, List.of()))));
				Mono.<RegistryUpdate>create((s) -> await(after.revision(), s)).subscribe((u) -> answer(sink, u));
			});
		}

		private void await(long after, MonoSink<RegistryUpdate> sink) {
			if (SharedStore.this.revision > after) {
				sink.success(changesAfter(after));
			}
			else {
				SharedStore.this.watches.add(new Watch(after, sink));
			}
		}

		@Override
		public Mono<Long> openLease(long ttlMs) {
			return call(() -> {
				long lease = ++SharedStore.this.lastLease;
				renew(lease, LEASE_TTL_MS);
				return lease;
			});
		}

		@Override
		public Mono<Boolean> renewLease(long lease) {
			return call(() -> {
				boolean alive = isAlive(lease);
				if (alive) {
					renew(lease, LEASE_TTL_MS);
				}
				return alive;
			});
		}

		private Mono<Boolean> putIf(Supplier<Boolean> condition, long lease, Runnable put) {
			return call(() -> {
				boolean ok = isAlive(lease) && condition.get();
				if (ok) {
					put.run();
				}
				return ok;
			});
		}

		@Override
		public Mono<Boolean> registerVm(EntryVm registered, long lease) {
			return putIf(() -> true, lease, () -> put(registered.key(), new RegistryChange.VmUpdated(registered),
					new RegistryChange.VmRemoved(registered.key()), lease));
		}

		@Override
		public Mono<Boolean> claimLeadership(String key, long lease) {
			return putIf(() -> leader().isEmpty(), lease,
					() -> put(LEADER,
							new RegistryChange.LeaderElected(key, new StorePosition(0, SharedStore.this.revision + 1)),
							new RegistryChange.LeadershipVacant(), lease));
		}

		@Override
		public Mono<Boolean> resignLeadership(StorePosition electedAt) {
			return call(() -> removeIf(isLeader(electedAt), LEADER));
		}

		private boolean removeIf(boolean condition, String key) {
			if (condition) {
				remove(key);
			}
			return condition;
		}

		@Override
		public Mono<Optional<RegistryChange.LeaderElected>> readLeader() {
			return call(() -> {
				this.vm.fleet().onLeaderRead(this.vm);
				return leader();
			});
		}

		@Override
		public Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition electedAt,
				long lease) {
			return putIf(() -> isLeader(electedAt), lease,
					() -> put("stages/" + worker, new RegistryChange.StageChangeAnnounced(worker, stage),
							new RegistryChange.StageChangeWithdrawn(worker), lease));
		}

		@Override
		public Mono<Boolean> withdrawStageChange(String worker, StorePosition electedAt) {
			return call(() -> removeIf(isLeader(electedAt), "stages/" + worker));
		}

		@Override
		public Mono<Void> revokeLease(long lease) {
			return call(() -> {
				SharedStore.this.leaseEnds.remove(lease);
				endIfDue(lease);
				return true;
			}).then();
		}

	}

}
