package io.shallotspur.registry;

import java.util.Optional;
import java.util.function.LongConsumer;

import reactor.core.publisher.Mono;

import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.RouteTable;

/**
 * The registry in the platform's store. Calls fail with
 * {@link io.shallotspur.exc.StoreException}; {@link #watch} with
 * {@link io.shallotspur.exc.StoreHistoryGoneException} if the store does not have that
 * state, or not the changes since.
 */
public interface Registry {

	/**
	 * Reads all entries.
	 * @return the entries, none of them as gone
	 */
	Mono<RegistryUpdate> list();

	/**
	 * Says who is to hear that the store has come back from an older copy, before the
	 * answer that shows it is taken. What was written since then is gone, leases too.
	 * @param then called with the new era
	 */
	void setRestoreListener(LongConsumer then);

	/**
	 * Waits for changes.
	 * @param after the state of the store after which changes count
	 * @param waitMs how long to wait, in milliseconds
	 * @return the changes; none if there were none in that time
	 */
	Mono<RegistryUpdate> watch(StorePosition after, long waitMs);

	/**
	 * Reads the newest configuration; an answer from the past does not count.
	 * @return the configuration
	 */
	Mono<RouteTable> readConfiguration();

	/**
	 * Opens a lease.
	 * @param ttlMs how long it lasts without renewal, in milliseconds
	 * @return its number
	 */
	Mono<Long> openLease(long ttlMs);

	/**
	 * Renews a lease.
	 * @param lease its number
	 * @return whether it still was there
	 */
	Mono<Boolean> renewLease(long lease);

	/**
	 * Ends a lease and removes what was registered under it.
	 * @param lease its number
	 * @return when done
	 */
	Mono<Void> revokeLease(long lease);

	/**
	 * Registers an entry VM.
	 * @param vm the registration
	 * @param lease the lease it lasts for
	 * @return whether the lease was there
	 */
	Mono<Boolean> registerVm(EntryVm vm, long lease);

	/**
	 * Takes the duty if nobody holds it.
	 * @param vm the key of the VM's registration
	 * @param lease the lease it lasts for
	 * @return whether it was free and the lease was there
	 */
	Mono<Boolean> claimLeadership(String vm, long lease);

	/**
	 * Asks who holds the duty at this moment.
	 * @return the holder, or empty if there is none
	 */
	Mono<Optional<RegistryChange.LeaderElected>> readLeader();

	/**
	 * Announces that a worker changes over.
	 * @param worker the worker
	 * @param stage what it is going to do
	 * @param fence the state in which the duty was got; nothing is written if it is
	 * another
	 * @param lease the lease the announcement lasts for
	 * @return whether it was written
	 */
	Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition fence, long lease);

	/**
	 * Tells all VMs what was seen of the engines of an upstream.
	 * @param upstream the upstream
	 * @param figures what was seen
	 * @param before the state in which it was told before; nothing is written if it was
	 * another one; {@link StorePosition#NONE} if nothing was
	 * @return whether it was written
	 */
	Mono<Boolean> publishStats(String upstream, EngineStatistics figures, StorePosition before);

	/**
	 * Tells all VMs, and those that start later, that what was lost with the return of
	 * the store from a copy has been written again.
	 * @param era the era of the store that began with its return
	 * @return whether it was written in that era
	 */
	Mono<Boolean> publishSettled(long era);

	/**
	 * Removes an announcement.
	 * @param worker the worker
	 * @return when done
	 */
	Mono<Void> withdrawStageChange(String worker);

}
