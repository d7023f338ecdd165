package io.shallotspur.cfg;

/**
 * The ledger of requests that run at most once. Immutable.
 *
 * @param timedShards records for keys that carry their time; the same on all entry VMs
 * @param untimedShards records for keys that do not; the same on all entry VMs
 * @param batchMs intents are gathered for this long before one write, in milliseconds
 * @param windowMs how long a key is remembered, in milliseconds
 */
public record LedgerSection(int timedShards, int untimedShards, long batchMs, long windowMs) {

}
