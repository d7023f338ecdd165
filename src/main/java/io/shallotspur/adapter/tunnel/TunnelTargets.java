package io.shallotspur.adapter.tunnel;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The workers to which a VM opens tunnels.
 */
@FunctionalInterface
public interface TunnelTargets {

	/**
	 * Returns the address of a worker.
	 * @param worker its id
	 * @return the address; empty if the worker is not known, or this VM itself has no
	 * network path to it
	 */
	Optional<InetSocketAddress> address(String worker);

}
