package io.shallotspur.boot;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.node.cluster.ClusterMessages;
import io.shallotspur.node.forward.ForwardTypes;
import io.shallotspur.node.ledger.LedgerMessages;
import io.shallotspur.node.quarantine.SuspectMessages;

/**
 * The messages between entry VMs with their type numbers. Stateless.
 */
public final class PeerTypes {

	private PeerTypes() {
	}

	/**
	 * Returns a codec of all messages.
	 * @return the codec
	 */
	public static PeerCodec codec() {
		PeerCodec.Builder b = PeerCodec.builder();
		ClusterMessages.register(b);
		ForwardTypes.all().forEach(b::register);
		LedgerMessages.register(b);
		SuspectMessages.register(b);
		return b.build();
	}

}
