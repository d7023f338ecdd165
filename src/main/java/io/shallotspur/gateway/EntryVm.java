package io.shallotspur.gateway;

import io.shallotspur.serving.LoadLevel;
import io.shallotspur.serving.ServingCandidate;

/**
 * An entry VM as described by its registration. Immutable.
 *
 * @param key the registration key, unique for each start of a VM
 * @param address the address for callers
 * @param region the region of its hall
 * @param hall the hall it runs in
 * @param cores processor cores available to it; may be fractional
 * @param loadLevel the load that it reports
 * @param tunnelAddress the address at which it opens tunnels to workers; empty if it does
 * not
 * @param peerAddress the address at which it accepts messages of other VMs; empty if it
 * does not
 */
public record EntryVm(String key, String address, String region, String hall, double cores, LoadLevel loadLevel,
		String tunnelAddress, String peerAddress) implements ServingCandidate {

	/**
	 * Creates a VM that opens no tunnels and accepts no messages.
	 * @param key as above
	 * @param address as above
	 * @param region as above
	 * @param hall as above
	 * @param cores as above
	 * @param overloaded whether it reports that requests wait for its processor
	 */
	public EntryVm(String key, String address, String region, String hall, double cores, boolean overloaded) {
		this(key, address, region, hall, cores, overloaded, "", "");
	}

	/**
	 * Creates a VM with the addresses that it listens at.
	 * @param key as above
	 * @param address as above
	 * @param region as above
	 * @param hall as above
	 * @param cores as above
	 * @param overloaded whether it reports that requests wait for its processor
	 * @param tunnelAddress as above
	 * @param peerAddress as above
	 */
	public EntryVm(String key, String address, String region, String hall, double cores, boolean overloaded,
			String tunnelAddress, String peerAddress) {
		this(key, address, region, hall, cores, overloaded ? LoadLevel.OVERLOADED : LoadLevel.NORMAL, tunnelAddress,
				peerAddress);
	}

	/**
	 * Returns whether this VM reports that requests wait for its processor.
	 * @return {@code true} at any level but {@link LoadLevel#NORMAL}
	 */
	public boolean overloaded() {
		return this.loadLevel != LoadLevel.NORMAL;
	}

	/**
	 * Returns a copy with another load level.
	 * @param level the load that it reports
	 * @return the copy
	 */
	public EntryVm withLoadLevel(LoadLevel level) {
		return new EntryVm(this.key, this.address, this.region, this.hall, this.cores, level, this.tunnelAddress,
				this.peerAddress);
	}

	/**
	 * Returns a copy with the addresses that it listens at.
	 * @param callers the address for callers
	 * @param tunnels the address at which it opens tunnels to workers
	 * @param peers the address at which it accepts messages of other VMs
	 * @return the copy
	 */
	public EntryVm withAddresses(String callers, String tunnels, String peers) {
		return new EntryVm(this.key, callers, this.region, this.hall, this.cores, this.loadLevel, tunnels, peers);
	}

}
