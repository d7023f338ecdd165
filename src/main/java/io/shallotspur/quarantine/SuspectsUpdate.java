package io.shallotspur.quarantine;

import java.util.List;

import io.shallotspur.port.PeerMessage;

/**
 * Tells peers of suspects and quarantined requests, at once after a crash; also the
 * answer to {@link SuspectsRequest}. Immutable.
 *
 * @param entries what the sender knows
 */
public record SuspectsUpdate(List<SuspectEntry> entries) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 80;

}
