package io.shallotspur.gateway;

/**
 * Computes the share of each customer's quota that this VM may spend. Stateless.
 * <p>
 * The serving VMs have equal shares, since callers choose among them at random. A standby
 * VM still receives callers with an outdated list of VMs, and VMs may briefly disagree
 * about which ones serve; it has the share that it would have as an additional serving
 * VM. The shares thus add up to more than the whole quota for the seconds in which
 * callers move.
 */
final class QuotaShare {

	private QuotaShare() {
	}

	static double of(EntryVmDirectory vms, long now) {
		int serving = vms.servingCountAllRegions(now);
		return 1.0 / (vms.isStandby(now) ? serving + 1 : serving);
	}

}
