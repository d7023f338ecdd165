package io.shallotspur.origin;

import java.util.List;

import io.shallotspur.port.PeerMessage;

/**
 * Tells another VM where streams began; it responds with an {@link OriginReceipt}.
 * Immutable.
 *
 * @param entries the streams
 */
public record OriginUpdate(List<OriginEntry> entries) implements PeerMessage {

	/** The type number of this message. */
	public static final int TYPE = 100;

	/**
	 * Creates a message; the list is copied.
	 */
	public OriginUpdate {
		entries = List.copyOf(entries);
	}

}
