package io.shallotspur.gateway;

/**
 * Computes the share of the retry slack that a VM has while the registrations do not
 * change. Stateless.
 * <p>
 * The slack belongs to the VMs that callers are directed to. The shares of all VMs with
 * the same view of the registrations add up to {@link #SERVING_SHARE}; the rest covers
 * the single retries that each VM may make by the ratio of its latest requests.
 */
final class RetrySlackShare {

	private static final double SERVING_SHARE = 0.9;

	private RetrySlackShare() {
	}

	static double of(EntryVmDirectory vms, long now) {
		return (vms.servingIndex(now) >= 0) ? SERVING_SHARE / vms.servingCountAllRegions(now) : 0;
	}

}
