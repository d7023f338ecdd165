package io.shallotspur.node.quarantine;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.quarantine.SuspectsAsk;
import io.shallotspur.quarantine.SuspectsTold;

/**
 * The type numbers of the messages of this package. A number is never used again for
 * another type.
 */
public final class SuspectMessages {

	private SuspectMessages() {
	}

	/**
	 * Registers the messages.
	 * @param builder the codec to be
	 * @return the same builder
	 */
	public static PeerCodec.Builder register(PeerCodec.Builder builder) {
		return builder.register(SuspectsTold.TYPE, SuspectsTold.class).register(SuspectsAsk.TYPE, SuspectsAsk.class);
	}

}
