package io.shallotspur.ledger;

/**
 * Names one write of a shard, so that a node which lost the answer can tell on reading
 * again whether the write took effect. Immutable.
 *
 * @param node the peer address of the writer
 * @param incarnation rises each time the node starts
 * @param number unique within the incarnation
 */
public record BatchId(String node, long incarnation, long number) {

}
