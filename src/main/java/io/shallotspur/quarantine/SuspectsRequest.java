package io.shallotspur.quarantine;

import io.shallotspur.port.PeerMessage;

/**
 * Asks a peer for all it knows of suspects; sent by a node that starts, and now and then
 * to mend what a lost message left out. Immutable.
 *
 * @param node the asking node, for logs
 */
public record SuspectsRequest(String node) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 81;

}
