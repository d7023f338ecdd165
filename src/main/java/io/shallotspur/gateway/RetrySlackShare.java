package io.shallotspur.gateway;

/**
 * Computes the share of the retry slack that a VM has while the registrations do not
 * change. Stateless.
 * <p>
 * Most of the slack belongs to the VMs that callers are directed to; the rest is for the
 * requests of callers with an outdated list. The shares of all VMs with the same view of
 * the registrations add up to 1.
 */
final class RetrySlackShare {

	private static final double SERVING_SHARE = 0.9;

	private RetrySlackShare() {
	}

	static double of(EntryVmDirectory vms, long now) {
		int serving = vms.servingCountAllRegions(now);
		int others = Math.max(0, vms.count(now) - serving);
		if (others == 0) {
			return 1.0 / serving;
		}
		return (vms.servingIndex(now) >= 0) ? SERVING_SHARE / serving : (1 - SERVING_SHARE) / others;
	}

}
