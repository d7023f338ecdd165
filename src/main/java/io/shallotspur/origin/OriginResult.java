package io.shallotspur.origin;

import java.util.List;

import io.shallotspur.port.PeerMessage;

/**
 * The response to an {@link OriginQuery}. Immutable.
 *
 * @param entries the stream, or an empty list if the VM does not know it
 */
public record OriginResult(List<OriginEntry> entries) implements PeerMessage {

	/** The type number of this message. */
	public static final int TYPE = 103;

	/**
	 * Creates a message; the list is copied.
	 */
	public OriginResult {
		entries = List.copyOf(entries);
	}

}
