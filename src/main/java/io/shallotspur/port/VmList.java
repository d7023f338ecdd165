package io.shallotspur.port;

import java.util.List;

import reactor.core.publisher.Mono;

/**
 * The platform's list of entry VMs. It lags: it may list the dead and miss the new.
 * Implementations are thread-safe.
 */
public interface VmList {

	/**
	 * Reads the list. Fails with {@link io.shallotspur.exc.StoreUnavailableException} if
	 * it cannot be had.
	 * @return the entries in no particular order
	 */
	Mono<List<VmEntry>> list();

}
