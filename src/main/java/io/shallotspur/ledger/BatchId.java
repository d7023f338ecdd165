package io.shallotspur.ledger;

/**
 * Identifies one write of a shard. A node that did not receive the response to a write
 * rereads the shard and looks for this id to determine whether the write took effect.
 * Immutable.
 *
 * @param node the peer address of the writer
 * @param incarnation number of the current run of the node, higher after each start
 * @param number unique within the incarnation
 */
public record BatchId(String node, long incarnation, long number) {

}
