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
 */
public record EntryVm(String key, String address, String region, String hall, double cores, boolean overloaded) {

	/**
	 * Returns a copy with another overload status.
	 * @param value whether requests wait for its processor
	 * @return the copy
	 */
	public EntryVm withOverloaded(boolean value) {
		return new EntryVm(this.key, this.address, this.region, this.hall, this.cores, value);
	}

}
