package io.shallotspur.node.ledger;

/**
 * Says which node is preferred to write a shard. Nodes may disagree for a while: that
 * costs conflicting writes and breaks nothing. Implementations are thread-safe.
 */
@FunctionalInterface
public interface ShardOwners {

	/**
	 * Returns the preferred node of a shard.
	 * @param shard the shard, from 0
	 * @return its peer address, {@code host:port}; this node's own if it is the one
	 */
	String owner(int shard);

}
