package io.shallotspur.node.ledger;

/**
 * Says whether a node that dispatched a request may still answer it. Wrong answers cost a
 * wait, or an "outcome unknown" that might have been an answer; they never run a request
 * twice. Implementations are thread-safe.
 */
@FunctionalInterface
public interface NodeLiveness {

	/**
	 * Tells whether a node is alive.
	 * @param address its peer address
	 * @param incarnation the incarnation that dispatched
	 * @return {@code false} if that incarnation is known to be gone
	 */
	boolean isAlive(String address, long incarnation);

}
