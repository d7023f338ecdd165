package io.shallotspur.gateway;

import java.util.Optional;

/**
 * Chooses the network path of a call to a worker.
 */
@FunctionalInterface
public interface PathSelector {

	/** All workers are called directly. */
	PathSelector DIRECT = (worker) -> Optional.empty();

	/**
	 * Returns the VM through which a worker is called.
	 * @param worker the worker
	 * @return the VM that opens a tunnel to it; empty if it is called directly
	 */
	Optional<EntryVm> tunnelVm(WorkerInfo worker);

}
