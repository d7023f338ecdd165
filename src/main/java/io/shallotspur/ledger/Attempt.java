package io.shallotspur.ledger;

/**
 * Identifies one call's claim on an idempotency key, created by the node that will
 * dispatch the call. Never reused; only the node that created it may dispatch the request
 * under it, and only once. Immutable.
 *
 * @param node the peer address of the node
 * @param incarnation number of the current run of the node, higher after each start
 * @param sequence unique within the incarnation
 */
public record Attempt(String node, long incarnation, long sequence) {

}
