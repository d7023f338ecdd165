package io.shallotspur.quarantine;

import io.shallotspur.port.PeerMessage;

/**
 * Requests all suspect entries of a peer. Sent when a node starts, and periodically to
 * recover entries whose update was lost. Immutable.
 *
 * @param node the requesting node, for logs
 */
public record SuspectsRequest(String node) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 81;

}
