package io.shallotspur.fleet;

/**
 * A worker of an upstream with its declared limits. Processing speeds are not declared
 * but measured by the router. Limits that do not apply to the role are 0. Immutable.
 *
 * @param id unique within the deployment
 * @param upstream the upstream to which it belongs
 * @param hall the hall in which it is located
 * @param role its role
 * @param address {@code host:port} of its engine, or empty if there is none, as in a
 * replay
 * @param slots decode: the number of requests that fit in memory; plain: the maximum
 * number of concurrent calls
 * @param cacheTokens prefill: the capacity of the prefix cache, in tokens
 * @param kvTtlMs prefill: how long the KV cache of a completed prefill is kept for its
 * transfer, in milliseconds
 * @param linkMbPerS decode: the bandwidth of the link shared by all transfers to it, in
 * MB/s
 * @param kvMbPerToken decode: the size of the KV cache of one token, in MB
 */
public record Worker(String id, String upstream, String hall, WorkerRole role, String address, int slots,
		int cacheTokens, long kvTtlMs, double linkMbPerS, double kvMbPerToken) {

}
