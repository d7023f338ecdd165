package io.shallotspur.node.ledger;

import io.shallotspur.adapter.peer.PeerCodec;

/**
 * The type numbers of the messages of this package. A number is never used again for
 * another type.
 */
public final class LedgerMessages {

	private LedgerMessages() {
	}

	/**
	 * Registers the messages.
	 * @param builder the codec to be
	 * @return the same builder
	 */
	public static PeerCodec.Builder register(PeerCodec.Builder builder) {
		return builder.register(IntentAsk.TYPE, IntentAsk.class)
			.register(IntentReply.TYPE, IntentReply.class)
			.register(EndTold.TYPE, EndTold.class)
			.register(EndAck.TYPE, EndAck.class)
			.register(AnswerAsk.TYPE, AnswerAsk.class)
			.register(AnswerReply.TYPE, AnswerReply.class);
	}

}
