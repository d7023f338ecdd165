package io.shallotspur.origin;

import io.shallotspur.port.PeerMessage;

/**
 * Confirms an {@link OriginUpdate}. Immutable.
 *
 * @param count the number of streams received
 */
public record OriginReceipt(int count) implements PeerMessage {

	/** The type number of this message. */
	public static final int TYPE = 101;

}
