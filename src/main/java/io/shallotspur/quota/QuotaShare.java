package io.shallotspur.quota;

/**
 * The share of each customer's quota that this VM may spend. Immutable.
 * <p>
 * The serving VMs have equal shares, since callers choose among them at random. A standby
 * VM still receives callers with an outdated list of VMs, and VMs may briefly disagree
 * about which ones serve; it has the share that it would have as an additional serving
 * VM. The shares thus add up to more than the whole quota for the seconds in which
 * callers move.
 *
 * @param fraction the share of the rate and of the burst, over 0 and at most 1
 * @param standby whether callers are directed to other VMs; the buckets are then kept at
 * their initial level, without the burst
 */
public record QuotaShare(double fraction, boolean standby) {

	/**
	 * Returns this VM's share.
	 * @param servingCount the number of VMs that callers are directed to; at least 1
	 * @param standby whether callers are directed to other VMs
	 * @return the share
	 */
	public static QuotaShare of(int servingCount, boolean standby) {
		return new QuotaShare(1.0 / (standby ? servingCount + 1 : servingCount), standby);
	}

}
