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
 */
public record GatewaySettings(String vm, String hall, double retryRatio, double retrySlack, long retryWindowMs) {

}
