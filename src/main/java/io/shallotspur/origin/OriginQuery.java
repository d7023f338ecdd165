package io.shallotspur.origin;

import io.shallotspur.port.PeerMessage;

/**
 * Asks another VM where a stream began; it responds with an {@link OriginResult}.
 * Immutable.
 *
 * @param request the id of the request that brought its first event
 */
public record OriginQuery(String request) implements PeerMessage {

	/** The type number of this message. */
	public static final int TYPE = 102;

}
