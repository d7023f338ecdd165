package io.shallotspur.gateway;

/**
 * Decides how many connections this VM may have at one worker. Stateless.
 * <p>
 * Answers a worker that stands still while callers come: each VM sees only its own
 * connections, and the worker resets those beyond what it takes from all VMs together. A
 * request on a connection that is reset may have run, so its caller is told of an unknown
 * outcome and not that it may come back.
 */
final class ConnectionShare {

	// The part for the VMs that callers are told to use. The rest is for callers who come
	// to others, for a set that has just changed, and for calls that are no requests.
	private static final double SERVING_SHARE = 0.75;

	private ConnectionShare() {
	}

	/**
	 * Returns this VM's part.
	 * @param limit connections that a worker takes from all VMs together
	 * @param vms the VMs
	 * @param now the present time in milliseconds
	 * @return the number of connections, at least 1
	 */
	static int of(int limit, EntryVmDirectory vms, long now) {
		int serving = vms.servingCountAllRegions(now);
		if (vms.servingIndex(now) >= 0) {
			return Math.max(1, (int) (SERVING_SHARE * limit / serving));
		}
		return Math.max(1, (int) ((1 - SERVING_SHARE) * limit / Math.max(1, vms.count(now) - serving)));
	}

}
