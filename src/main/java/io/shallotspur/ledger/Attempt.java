package io.shallotspur.ledger;

/**
 * Identifies one call's claim on an idempotency key, created by the node that will
 * dispatch the call. Never reused; only the node that created it may dispatch the request
 * under it, and only once. Immutable.
 *
 * @param node the peer address of the node
 * @param incarnation start counter of the node, incremented on each start
 * @param sequence unique within the incarnation
 */
public record Attempt(String node, long incarnation, long sequence) {

}
