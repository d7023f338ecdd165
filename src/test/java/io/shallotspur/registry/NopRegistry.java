package io.shallotspur.registry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;

import reactor.core.publisher.Mono;

import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.RouteTable;

/**
 * A registry that never answers. Base of those that answer some calls.
 */
public class NopRegistry implements Registry {

	@Override
	public void setRestoreListener(LongConsumer listener) {
	}

	@Override
	public Mono<RegistryUpdate> list() {
		return Mono.never();
	}

	@Override
	public Mono<RegistryUpdate> watch(StorePosition after, long waitMs) {
		return Mono.never();
	}

	@Override
	public Mono<RouteTable> readConfiguration() {
		return Mono.never();
	}

	@Override
	public Mono<Long> openLease(long ttlMs) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> renewLease(long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Void> revokeLease(long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> registerVm(EntryVm vm, long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> claimLeadership(String vm, long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> resignLeadership(StorePosition electedAt) {
		return Mono.never();
	}

	@Override
	public Mono<Optional<RegistryChange.LeaderElected>> readLeader() {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition electedAt, long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> withdrawStageChange(String worker, StorePosition electedAt) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> publishStats(String upstream, EngineStatistics stats, StorePosition expected) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> publishSuspects(String name, List<SuspectReport> reports, long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> publishSettled(long era) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> announceVersions(String upstream, Set<String> versions, StorePosition expected) {
		return Mono.never();
	}

	@Override
	public Mono<RegistryChange.VersionsAnnounced> readVersions(String upstream) {
		return Mono.never();
	}

}
