package io.shallotspur.registry;

import reactor.core.publisher.Mono;

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
	Mono<Boolean> register(RegistryChange.VmSeen vm, long lease);

}
