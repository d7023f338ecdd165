package io.shallotspur.gateway;

/**
 * An entry VM as its registration describes it. Immutable.
 *
 * @param key its key, unique for each start of a VM
 * @param address where callers connect
 * @param region the region of its hall
 * @param hall where it runs
 * @param cores processor cores that it may use; a part of one is a fraction
 * @param overloaded whether it says that callers wait for its processor
 */
public record EntryVm(String key, String address, String region, String hall, double cores, boolean overloaded) {

	/**
	 * Returns this VM as one that says otherwise whether callers wait for it.
	 * @param now whether they do
	 * @return an entry that differs in that only
	 */
	public EntryVm withOverloaded(boolean now) {
		return new EntryVm(this.key, this.address, this.region, this.hall, this.cores, now);
	}

}
