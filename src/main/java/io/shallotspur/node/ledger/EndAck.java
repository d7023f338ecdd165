package io.shallotspur.node.ledger;

import io.shallotspur.port.PeerMessage;

/**
 * The answer to {@link EndTold}: the end is taken over. Immutable.
 *
 * @param taken always {@code true} today
 */
public record EndAck(boolean taken) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 63;

}
