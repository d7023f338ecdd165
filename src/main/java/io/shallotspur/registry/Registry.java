package io.shallotspur.registry;

import java.util.Optional;

import reactor.core.publisher.Mono;

import io.shallotspur.gateway.EngineFigures;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.RouteTable;

/**
 * The registry in the platform's store. Calls fail with
 * {@link io.shallotspur.exc.StoreException}; {@link #changes} with
 * {@link io.shallotspur.exc.StoreHistoryGoneException} if the revision is too old.
 */
public interface Registry {

	/**
	 * Reads all entries.
	 * @return the entries, none of them as gone
	 */
	Mono<RegistryNews> list();

	/**
	 * Waits for changes.
	 * @param after the revision after which changes count
	 * @param waitMs how long to wait, in milliseconds
	 * @return the changes; none if there were none in that time
	 */
	Mono<RegistryNews> changes(long after, long waitMs);

	/**
	 * Reads the newest configuration; an answer from the past does not count.
	 * @return the configuration
	 */
	Mono<RouteTable> configuration();

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
	Mono<Boolean> renew(long lease);

	/**
	 * Ends a lease and removes what was registered under it.
	 * @param lease its number
	 * @return when done
	 */
	Mono<Void> endLease(long lease);

	/**
	 * Registers an entry VM.
	 * @param vm the registration
	 * @param lease the lease it lasts for
	 * @return whether the lease was there
	 */
	Mono<Boolean> register(EntryVm vm, long lease);

	/**
	 * Takes the duty if nobody holds it.
	 * @param vm the key of the VM's registration
	 * @param lease the lease it lasts for
	 * @return whether it was free and the lease was there
	 */
	Mono<Boolean> claim(String vm, long lease);

	/**
	 * Asks who holds the duty at this moment.
	 * @return the holder, or empty if there is none
	 */
	Mono<Optional<RegistryChange.DutyHeld>> duty();

	/**
	 * Announces that a worker changes over.
	 * @param worker the worker
	 * @param stage what it is going to do
	 * @param fence the revision of the duty's key; nothing is written if it is another
	 * @param lease the lease the announcement lasts for
	 * @return whether it was written
	 */
	Mono<Boolean> mark(String worker, WorkerStage stage, long fence, long lease);

	/**
	 * Tells all VMs what was seen of the engines of an upstream.
	 * @param upstream the upstream
	 * @param figures what was seen
	 * @param revision the revision of what was told before; nothing is written if it is
	 * another one; 0 if nothing was
	 * @return whether it was written
	 */
	Mono<Boolean> tell(String upstream, EngineFigures figures, long revision);

	/**
	 * Removes an announcement.
	 * @param worker the worker
	 * @return when done
	 */
	Mono<Void> unmark(String worker);

}
