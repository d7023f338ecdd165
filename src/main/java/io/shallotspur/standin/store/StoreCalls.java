package io.shallotspur.standin.store;

/**
 * The calls that a stand-in counted. Immutable.
 *
 * @param reads get and list calls
 * @param writes compare-and-swap and lease calls
 * @param watches opened watches
 * @param openWatches watches that wait now
 */
public record StoreCalls(long reads, long writes, long watches, int openWatches) {

}
