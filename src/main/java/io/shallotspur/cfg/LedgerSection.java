package io.shallotspur.cfg;

/**
 * The ledger of requests that run at most once. Immutable.
 *
 * @param shards records the keys are spread over; the same on all entry VMs
 * @param batchMs intents are gathered for this long before one write, in milliseconds
 * @param windowMs how long a key is remembered, in milliseconds
 */
public record LedgerSection(int shards, long batchMs, long windowMs) {

}
