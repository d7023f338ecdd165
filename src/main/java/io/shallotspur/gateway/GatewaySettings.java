package io.shallotspur.gateway;

import io.shallotspur.quota.QuotaTolerance;

/**
 * Settings of the request relay of one entry VM. Immutable.
 *
 * @param vmName the name of the VM
 * @param hall the hall it runs in
 * @param retryRatio the retries that all VMs together may send to an upstream, as a
 * fraction of its requests in the window
 * @param retrySlack additional retries that all VMs together may send per window
 * @param retryWindowMs the window, in milliseconds
 * @param revokedKeyMs how long a revoked key may still be accepted, in milliseconds; 0
 * for no bound
 * @param quotas how strictly customers' quotas are enforced
 */
public record GatewaySettings(String vmName, String hall, double retryRatio, double retrySlack, long retryWindowMs,
		long revokedKeyMs, QuotaTolerance quotas) {

	/**
	 * Creates settings without a bound for revoked keys.
	 * @param vmName the name of the VM
	 * @param hall the hall it runs in
	 * @param retryRatio retries as a fraction of the requests
	 * @param retrySlack additional retries per window
	 * @param retryWindowMs the window, in milliseconds
	 */
	public GatewaySettings(String vm, String hall, double retryRatio, double retrySlack, long retryWindowMs) {
		this(vm, hall, retryRatio, retrySlack, retryWindowMs, 0, QuotaTolerance.EXACT);
	}

	/**
	 * Returns a copy with a bound for revoked keys.
	 * @param ms how long a revoked key may still be accepted, in milliseconds
	 * @return the copy
	 */
	public GatewaySettings withRevokedKeyMs(long ms) {
		return new GatewaySettings(this.vmName, this.hall, this.retryRatio, this.retrySlack, this.retryWindowMs, ms,
				this.quotas);
	}

	/**
	 * Returns a copy with other quota bounds.
	 * @param bounds how strictly customers' quotas are enforced
	 * @return the copy
	 */
	public GatewaySettings withQuotas(QuotaTolerance bounds) {
		return new GatewaySettings(this.vmName, this.hall, this.retryRatio, this.retrySlack, this.retryWindowMs,
				this.revokedKeyMs, bounds);
	}

}
