package io.shallotspur.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.RouteTable;

/**
 * A registry whose answers the test gives by hand. A call that nothing was prepared for
 * stays open.
 */
public final class FakeRegistry implements Registry {

	/** What the next listings bring. */
	public final Deque<RegistryUpdate> listings = new ArrayDeque<>();

	final List<Long> watchedAfter = new ArrayList<>();

	Sinks.One<RegistryUpdate> pendingWatch = Sinks.one();

	long lastWaitMs;

	/** What is announced of workers. */
	public final Map<String, WorkerStage> announcedStages = new HashMap<>();

	/** Who holds the duty. */
	public RegistryChange.@Nullable LeaderElected leader;

	int claimCalls;

	int configurationReads;

	/** Answers the latest question for the configuration. */
	public Sinks.One<RouteTable> pendingConfiguration = Sinks.one();

	int leases;

	int renewals;

	int registrations;

	final Map<String, RegistryChange.EngineStatsUpdated> stats = new HashMap<>();

	private long revision = 100;

	final List<Long> settledEras = new ArrayList<>();

	/** The store's era. */
	long era;

	private LongConsumer onRestored = (e) -> {
	};

	boolean leaseExists = true;

	boolean storeDown;

	@Nullable Long revokedLease;

	/**
	 * The store comes back from a copy; what is listed there, the test says.
	 */
	public void restore() {
		this.onRestored.accept(++this.era);
	}

	@Override
	public void setRestoreListener(LongConsumer then) {
		this.onRestored = then;
	}

	@Override
	public Mono<RegistryUpdate> list() {
		RegistryUpdate n = this.listings.poll();
		return (n != null) ? Mono.just(n) : unavailable();
	}

	@Override
	public Mono<RegistryUpdate> watch(StorePosition after, long waitMs) {
		this.watchedAfter.add(after.revision());
		this.lastWaitMs = waitMs;
		this.pendingWatch = Sinks.one();
		return this.pendingWatch.asMono();
	}

	@Override
	public Mono<RouteTable> readConfiguration() {
		this.configurationReads++;
		return this.pendingConfiguration.asMono();
	}

	@Override
	public Mono<Long> openLease(long ttlMs) {
		this.leases++;
		return this.storeDown ? unavailable() : Mono.just((long) this.leases);
	}

	@Override
	public Mono<Boolean> renewLease(long lease) {
		this.renewals++;
		return this.storeDown ? unavailable() : Mono.just(this.leaseExists);
	}

	@Override
	public Mono<Void> revokeLease(long lease) {
		this.revokedLease = lease;
		return Mono.empty();
	}

	@Override
	public Mono<Boolean> registerVm(EntryVm vm, long lease) {
		this.registrations++;
		this.leaseExists = true;
		return Mono.just(true);
	}

	@Override
	public Mono<Boolean> claimLeadership(String vm, long lease) {
		this.claimCalls++;
		return this.storeDown ? unavailable() : Mono.just(true);
	}

	@Override
	public Mono<Optional<RegistryChange.LeaderElected>> readLeader() {
		return this.storeDown ? unavailable() : Mono.just(Optional.ofNullable(this.leader));
	}

	@Override
	public Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition fence, long lease) {
		boolean mine = this.leader != null && this.leader.electedAt().equals(fence);
		if (mine) {
			this.announcedStages.put(worker, stage);
		}
		return this.storeDown ? unavailable() : Mono.just(mine);
	}

	@Override
	public Mono<Boolean> publishStats(String upstream, EngineStatistics figures, StorePosition before) {
		if (this.storeDown) {
			return unavailable();
		}
		RegistryChange.EngineStatsUpdated old = this.stats.get(upstream);
		if (!before.equals((old != null) ? old.position() : StorePosition.NONE)) {
			return Mono.just(false);
		}
		this.stats.put(upstream,
				new RegistryChange.EngineStatsUpdated(upstream, figures, new StorePosition(this.era, ++this.revision)));
		return Mono.just(true);
	}

	@Override
	public Mono<Boolean> publishSettled(long e) {
		this.settledEras.add(e);
		return Mono.just(true);
	}

	@Override
	public Mono<Void> withdrawStageChange(String worker) {
		this.announcedStages.remove(worker);
		return Mono.empty();
	}

	static <T> Mono<T> unavailable() {
		return Mono.error(new StoreUnavailableException("away", "test"));
	}

}
