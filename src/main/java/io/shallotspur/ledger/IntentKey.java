package io.shallotspur.ledger;

/**
 * Identifies a request that may run at most once. Idempotency keys are scoped to a
 * customer. Immutable.
 *
 * @param customer the customer
 * @param key the value of the caller's Idempotency-Key header
 */
public record IntentKey(String customer, String key) {

}
