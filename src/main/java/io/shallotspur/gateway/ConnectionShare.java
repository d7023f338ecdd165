package io.shallotspur.gateway;

/**
 * Computes how many connections this VM may have to one worker. Stateless.
 * <p>
 * If a worker stalls while requests arrive, connections accumulate. A VM sees only its
 * own connections, and the worker resets those beyond its limit for all VMs together. A
 * request on a connection that was reset may have run, so its caller is told that the
 * outcome is unknown and not that it may retry.
 */
final class ConnectionShare {

	// The share of the serving VMs. The rest is for callers of standby VMs, for changes
	// of the serving set, and for calls that carry no requests.
	private static final double SERVING_SHARE = 0.75;

	private ConnectionShare() {
	}

	/**
	 * Returns this VM's share.
	 * @param limit connections that a worker accepts from all VMs together
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
