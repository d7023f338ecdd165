package io.shallotspur.ledger;

/**
 * One call's claim on a key, made by the node that will dispatch it. Unique for all time;
 * only the node that made it may dispatch under it, once. Immutable.
 *
 * @param node the peer address of the node
 * @param incarnation rises each time the node starts
 * @param sequence unique within the incarnation
 */
public record Attempt(String node, long incarnation, long sequence) {

}
