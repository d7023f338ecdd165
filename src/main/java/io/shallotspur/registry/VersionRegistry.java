package io.shallotspur.registry;

import java.util.Set;

import reactor.core.publisher.Mono;

/**
 * The announced versions of the workers' software, as part of the {@link Registry}. Calls
 * fail with {@link io.shallotspur.exc.StoreException}.
 */
public interface VersionRegistry {

	/**
	 * Announces the versions of an upstream's workers, also for VMs that start later.
	 * @param upstream the upstream
	 * @param versions all versions
	 * @param expected the position at which the current entry was written; nothing is
	 * written if it is another one; {@link StorePosition#NONE} if there is no entry
	 * @return whether they were written
	 */
	Mono<Boolean> announceVersions(String upstream, Set<String> versions, StorePosition expected);

	/**
	 * Reads the announced versions of an upstream's workers; an outdated response is not
	 * accepted.
	 * @param upstream the upstream
	 * @return the entry, without versions and at {@link StorePosition#NONE} if there is
	 * none
	 */
	Mono<RegistryChange.VersionsAnnounced> readVersions(String upstream);

}
