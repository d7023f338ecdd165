package io.shallotspur.quarantine;

import java.util.List;

import io.shallotspur.port.PeerMessage;

/**
 * Sends entries of suspects and quarantined requests to a peer, either immediately after
 * they changed or in response to a {@link SuspectsRequest}. Immutable.
 *
 * @param entries the sender's entries
 */
public record SuspectsUpdate(List<SuspectEntry> entries) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 80;

}
