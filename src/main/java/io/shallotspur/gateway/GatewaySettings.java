package io.shallotspur.gateway;

/**
 * What one entry VM is told about its relaying. Immutable.
 *
 * @param vm its name
 * @param hall where it runs
 * @param retryRatio retries of an upstream that all VMs together may send, as a part of
 * the requests for it in the window
 * @param retrySlack retries that all VMs together may send in a window beyond that
 * @param retryWindowMs the window, in milliseconds
 * @param revokedKeyMs how long a key that was revoked may still be used, in milliseconds;
 * 0 for no bound
 */
public record GatewaySettings(String vm, String hall, double retryRatio, double retrySlack, long retryWindowMs,
		long revokedKeyMs) {

	/**
	 * Creates settings without a bound for revoked keys.
	 * @param vm its name
	 * @param hall where it runs
	 * @param retryRatio retries as a part of the requests
	 * @param retrySlack retries beyond that
	 * @param retryWindowMs the window, in milliseconds
	 */
	public GatewaySettings(String vm, String hall, double retryRatio, double retrySlack, long retryWindowMs) {
		this(vm, hall, retryRatio, retrySlack, retryWindowMs, 0);
	}

	/**
	 * Returns these settings with a bound for revoked keys.
	 * @param ms how long a key that was revoked may still be used, in milliseconds
	 * @return settings that differ in that only
	 */
	public GatewaySettings withRevokedKeyMs(long ms) {
		return new GatewaySettings(this.vm, this.hall, this.retryRatio, this.retrySlack, this.retryWindowMs, ms);
	}

}
