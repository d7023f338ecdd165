package io.shallotspur.node.ledger;

import io.shallotspur.ledger.Intent;
import io.shallotspur.port.PeerMessage;

/**
 * Asks the preferred node of a shard to commit an intent. Asking twice with the same
 * attempt is the same as once. Immutable.
 *
 * @param shard the shard
 * @param intent the intent
 * @param budgetMs the intent is of no use after this many milliseconds
 * @param waitMs if the key is in flight, how long to wait for its end, in milliseconds
 */
public record IntentAsk(int shard, Intent intent, long budgetMs, long waitMs) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 60;

}
