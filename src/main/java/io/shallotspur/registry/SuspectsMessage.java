package io.shallotspur.registry;

import java.util.List;

import io.shallotspur.port.PeerMessage;

/**
 * Tells another VM what has been observed of suspects. Immutable.
 *
 * @param reports the suspects; ages count from the sending
 */
public record SuspectsMessage(List<SuspectReport> reports) implements PeerMessage {

	/** The type number of this message. */
	public static final int TYPE = 104;

	/**
	 * Creates a message; the list is copied.
	 */
	public SuspectsMessage {
		reports = List.copyOf(reports);
	}

}
