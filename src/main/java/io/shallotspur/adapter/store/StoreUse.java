package io.shallotspur.adapter.store;

/**
 * What this VM uses of the store. Immutable.
 *
 * @param readsPerSecond reads and opened watches in the last whole second
 * @param writesPerSecond writes in the last whole second
 * @param openWatches watches that wait now; the store counts each as a call
 * @param reads all reads since the start
 * @param writes all writes since the start
 * @param refused calls that were not sent because the budget was used up
 */
public record StoreUse(long readsPerSecond, long writesPerSecond, int openWatches, long reads, long writes,
		long refused) {

}
