package io.shallotspur.gateway;

/**
 * Which part of each customer's quota a VM may spend. Stateless.
 * <p>
 * The VMs that callers are told to use have equal parts: callers choose among them at
 * random. One that stands by still meets callers who have an older answer, and others may
 * not know yet that it serves, or no longer does; it has as much as if it were one more.
 * That is more than the whole in all, for the seconds in which callers move.
 */
final class QuotaShare {

	private QuotaShare() {
	}

	static double of(EntryVmDirectory vms, long now) {
		int serving = vms.servingCountAllRegions(now);
		return 1.0 / (vms.isStandby(now) ? serving + 1 : serving);
	}

}
