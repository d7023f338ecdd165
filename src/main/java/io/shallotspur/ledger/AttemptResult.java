package io.shallotspur.ledger;

/**
 * The final state of an attempt. Applying it is idempotent. Immutable.
 *
 * @param key the digest of the key
 * @param attempt the attempt
 * @param state its final state; never {@link EntryState.InFlight}
 */
public record AttemptResult(KeyDigest key, Attempt attempt, EntryState state) {

}
