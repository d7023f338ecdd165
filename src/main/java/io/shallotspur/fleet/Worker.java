package io.shallotspur.fleet;

/**
 * One worker of an upstream with its declared limits. Speeds are not declared: the router
 * learns them. Limits that a role does not have are 0. Immutable.
 *
 * @param id unique within the deployment
 * @param upstream the upstream it belongs to
 * @param hall the hall it stands in
 * @param role what it does
 * @param address {@code host:port} of its engine, or empty where there is none (replay)
 * @param slots decode: the requests its memory holds; plain: the calls it takes at a time
 * @param cacheTokens prefill: the tokens its prefix cache holds
 * @param kvTtlMs prefill: how long a finished result is kept for a transfer, in
 * milliseconds
 * @param linkMbPerS decode: the rate of the link that transfers to it share, in MB/s
 * @param kvMbPerToken decode: the size of the KV cache of one token, in MB
 */
public record Worker(String id, String upstream, String hall, WorkerRole role, String address, int slots,
		int cacheTokens, long kvTtlMs, double linkMbPerS, double kvMbPerToken) {

}
