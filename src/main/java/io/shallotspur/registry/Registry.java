package io.shallotspur.registry;

import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;

import reactor.core.publisher.Mono;

import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.RouteTable;

/**
 * The registry in the platform's key-value store. Calls fail with
 * {@link io.shallotspur.exc.StoreException}; {@link #watch} fails with
 * {@link io.shallotspur.exc.StoreHistoryGoneException} if the store does not have the
 * given position, or no longer has the changes since then.
 */
public interface Registry extends VersionRegistry {

	/**
	 * Reads all entries.
	 * @return the entries; none of them is a removal
	 */
	Mono<RegistryUpdate> list();

	/**
	 * Sets the listener for restores of the store from an older snapshot. It is called
	 * before the response that shows the restore is processed. Everything written since
	 * the snapshot is lost, including leases.
	 * @param listener called with the new era
	 */
	void setRestoreListener(LongConsumer listener);

	/**
	 * Waits for changes.
	 * @param after the position of the store after which changes are returned
	 * @param waitMs how long to wait, in milliseconds
	 * @return the changes; empty if there were none in that time
	 */
	Mono<RegistryUpdate> watch(StorePosition after, long waitMs);

	/**
	 * Reads the latest configuration; an outdated response is not accepted.
	 * @return the configuration
	 */
	Mono<RouteTable> readConfiguration();

	/**
	 * Opens a lease.
	 * @param ttlMs its time to live without renewal, in milliseconds
	 * @return its number
	 */
	Mono<Long> openLease(long ttlMs);

	/**
	 * Renews a lease.
	 * @param lease its number
	 * @return whether it still existed
	 */
	Mono<Boolean> renewLease(long lease);

	/**
	 * Revokes a lease and removes the entries that are attached to it.
	 * @param lease its number
	 * @return completes when the lease is revoked
	 */
	Mono<Void> revokeLease(long lease);

	/**
	 * Registers an entry VM.
	 * @param vm the registration
	 * @param lease the lease that the registration is attached to
	 * @return whether the lease existed
	 */
	Mono<Boolean> registerVm(EntryVm vm, long lease);

	/**
	 * Claims the leadership if it is vacant.
	 * @param vm the key of the VM's registration
	 * @param lease the lease that the leadership is attached to
	 * @return whether it was vacant and the lease existed
	 */
	Mono<Boolean> claimLeadership(String vm, long lease);

	/**
	 * Gives the leadership up.
	 * @param electedAt the position at which the caller became leader; nothing is written
	 * if the current leader has another one
	 * @return whether the caller was the leader
	 */
	Mono<Boolean> resignLeadership(StorePosition electedAt);

	/**
	 * Reads the current leader.
	 * @return the leader, or empty if there is none
	 */
	Mono<Optional<RegistryChange.LeaderElected>> readLeader();

	/**
	 * Announces that a worker is about to change its stage.
	 * @param worker the worker
	 * @param stage its next stage
	 * @param electedAt the position at which the caller became leader; nothing is written
	 * if the current leader has another one
	 * @param lease the lease that the announcement is attached to
	 * @return whether it was written
	 */
	Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition electedAt, long lease);

	/**
	 * Publishes statistics about the engines of an upstream to all VMs.
	 * @param upstream the upstream
	 * @param stats the statistics
	 * @param expected the position at which the current entry was written; nothing is
	 * written if it is another one; {@link StorePosition#NONE} if there is no entry
	 * @return whether they were written
	 */
	Mono<Boolean> publishStats(String upstream, EngineStatistics stats, StorePosition expected);

	/**
	 * Publishes, also for VMs that start later, requests that were running on workers
	 * that crashed.
	 * @param name a name that no other publication has
	 * @param reports the requests
	 * @param lease the lease that the publication is attached to
	 * @return whether the lease existed
	 */
	Mono<Boolean> publishSuspects(String name, List<SuspectReport> reports, long lease);

	/**
	 * Publishes, also for VMs that start later, that the data lost in a restore of the
	 * store has been written again.
	 * @param era the era that began with the restore
	 * @return whether this was written in that era
	 */
	Mono<Boolean> publishSettled(long era);

	/**
	 * Removes the announcement of a stage change.
	 * @param worker the worker
	 * @param electedAt the position at which the caller became leader; nothing is removed
	 * if the current leader has another one
	 * @return whether the caller is the leader
	 */
	Mono<Boolean> withdrawStageChange(String worker, StorePosition electedAt);

}
