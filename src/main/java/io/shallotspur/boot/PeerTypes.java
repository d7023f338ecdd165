package io.shallotspur.boot;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.node.cluster.ClusterMessages;
import io.shallotspur.node.forward.ForwardTypes;
import io.shallotspur.node.ledger.AnswerAsk;
import io.shallotspur.node.ledger.AnswerReply;
import io.shallotspur.node.ledger.EndAck;
import io.shallotspur.node.ledger.EndTold;
import io.shallotspur.node.ledger.IntentAsk;
import io.shallotspur.node.ledger.IntentReply;
import io.shallotspur.quarantine.SuspectsAsk;
import io.shallotspur.quarantine.SuspectsTold;

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
		PeerCodec.Builder b = ClusterMessages.register(PeerCodec.builder());
		ForwardTypes.all().forEach(b::register);
		return b.register(IntentAsk.TYPE, IntentAsk.class)
			.register(IntentReply.TYPE, IntentReply.class)
			.register(EndTold.TYPE, EndTold.class)
			.register(EndAck.TYPE, EndAck.class)
			.register(AnswerAsk.TYPE, AnswerAsk.class)
			.register(AnswerReply.TYPE, AnswerReply.class)
			.register(SuspectsTold.TYPE, SuspectsTold.class)
			.register(SuspectsAsk.TYPE, SuspectsAsk.class)
			.build();
	}

}
