package io.shallotspur.ledger;

/**
 * Names a request that may be run once at most. Immutable.
 *
 * @param customer the customer
 * @param key the caller's Idempotency-Key
 */
public record IntentKey(String customer, String key) {

}
