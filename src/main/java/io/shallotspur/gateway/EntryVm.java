package io.shallotspur.gateway;

/**
 * An entry VM as described by its registration. Immutable.
 *
 * @param key the registration key, unique for each start of a VM
 * @param address the address for callers
 * @param region the region of its hall
 * @param hall the hall it runs in
 * @param cores processor cores available to it; may be fractional
 * @param overloaded whether it reports that requests wait for its processor
 * @param tunnelAddress the address at which it opens tunnels to workers; empty if it does
 * not
 * @param peerAddress the address at which it accepts messages of other VMs; empty if it
 * does not
 */
public record EntryVm(String key, String address, String region, String hall, double cores, boolean overloaded,
		String tunnelAddress, String peerAddress) {

	/**
	 * Creates a VM that opens no tunnels and accepts no messages.
	 * @param key as above
	 * @param address as above
	 * @param region as above
	 * @param hall as above
	 * @param cores as above
	 * @param overloaded as above
	 */
	public EntryVm(String key, String address, String region, String hall, double cores, boolean overloaded) {
		this(key, address, region, hall, cores, overloaded, "", "");
	}

	/**
	 * Returns a copy with another overload status.
	 * @param value whether requests wait for its processor
	 * @return the copy
	 */
	public EntryVm withOverloaded(boolean value) {
		return new EntryVm(this.key, this.address, this.region, this.hall, this.cores, value, this.tunnelAddress,
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
		return new EntryVm(this.key, callers, this.region, this.hall, this.cores, this.overloaded, tunnels, peers);
	}

}
