package io.shallotspur.gateway;

/**
 * What one entry VM is told about its relaying. Immutable.
 *
 * @param vmName its name
 * @param hall where it runs
 * @param retryRatio retries of an upstream that all VMs together may send, as a part of
 * the requests for it in the window
 * @param retrySlack retries that all VMs together may send in a window beyond that
 * @param retryWindowMs the window, in milliseconds
 * @param revokedKeyMs how long a key that was revoked may still be used, in milliseconds;
 * 0 for no bound
 * @param quotas how exactly customers' quotas have to be kept
 */
public record GatewaySettings(String vmName, String hall, double retryRatio, double retrySlack, long retryWindowMs,
		long revokedKeyMs, QuotaTolerance quotas) {

	/**
	 * Creates settings without a bound for revoked keys.
	 * @param vm its name
	 * @param hall where it runs
	 * @param retryRatio retries as a part of the requests
	 * @param retrySlack retries beyond that
	 * @param retryWindowMs the window, in milliseconds
	 */
	public GatewaySettings(String vm, String hall, double retryRatio, double retrySlack, long retryWindowMs) {
		this(vm, hall, retryRatio, retrySlack, retryWindowMs, 0, QuotaTolerance.EXACT);
	}

	/**
	 * Returns these settings with a bound for revoked keys.
	 * @param ms how long a key that was revoked may still be used, in milliseconds
	 * @return settings that differ in that only
	 */
	public GatewaySettings withRevokedKeyMs(long ms) {
		return new GatewaySettings(this.vmName, this.hall, this.retryRatio, this.retrySlack, this.retryWindowMs, ms,
				this.quotas);
	}

	/**
	 * Returns these settings with other bounds for quotas.
	 * @param bounds how exactly customers' quotas have to be kept
	 * @return settings that differ in that only
	 */
	public GatewaySettings withQuotas(QuotaTolerance bounds) {
		return new GatewaySettings(this.vmName, this.hall, this.retryRatio, this.retrySlack, this.retryWindowMs,
				this.revokedKeyMs, bounds);
	}

}
