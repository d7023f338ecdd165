package io.shallotspur.route;

/**
 * The configured properties of the engines of a model upstream. Immutable.
 *
 * @param slots number of requests that a worker runs concurrently
 * @param kvCacheTokens capacity of a worker's KV cache in tokens
 * @param kvBytesPerToken bytes of KV cache per token
 * @param linkMbps bandwidth of a worker's link in megabits per second
 * @param kvHandleTtlMs how long the KV cache of a finished prefill is kept for the decode
 * worker, in milliseconds
 * @param maxReservationMs maximum duration of a slot reservation in milliseconds; 0 if
 * the engine does not support reservations
 * @param tokensPerEvent number of tokens in each event of a streamed answer; 0 if not
 * configured
 */
public record EngineSpec(int slots, long kvCacheTokens, double kvBytesPerToken, double linkMbps, long kvHandleTtlMs,
		long maxReservationMs, int tokensPerEvent) {

}
