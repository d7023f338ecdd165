package io.shallotspur.ledger;

/**
 * How an attempt ended. Applying it twice is the same as once. Immutable.
 *
 * @param key the digest of the key
 * @param attempt the attempt
 * @param state its last state; never {@link EntryState.InFlight}
 */
public record AttemptResult(KeyDigest key, Attempt attempt, EntryState state) {

}
