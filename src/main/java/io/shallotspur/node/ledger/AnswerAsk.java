package io.shallotspur.node.ledger;

import io.shallotspur.ledger.KeyDigest;
import io.shallotspur.port.PeerMessage;

/**
 * Asks the node that dispatched a key for its answer. Immutable.
 *
 * @param key the digest of the key
 */
public record AnswerAsk(KeyDigest key) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 64;

}
