package io.shallotspur.route;

/**
 * What the operator says of the engines of a model upstream. Immutable.
 *
 * @param slots requests that a worker runs at once
 * @param kvCacheTokens tokens that a worker's memory holds
 * @param kvBytesPerToken bytes of KV cache for each token
 * @param linkMbps rate of a worker's link in megabits a second
 * @param kvHandleTtlMs how long the result of a prefill is kept for its decode worker, in
 * milliseconds
 * @param maxReservationMs the longest time for which a place can be reserved, in milliseconds; 0 if
 * none can
 * @param tokensPerEvent tokens in each event of an answer; 0 if the operator does not say
 */
public record EngineSpec(int slots, long kvCacheTokens, double kvBytesPerToken, double linkMbps, long kvHandleTtlMs, long maxReservationMs,
		int tokensPerEvent) {

}
