package io.shallotspur.node.ledger;

import org.jspecify.annotations.Nullable;

import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.port.PeerMessage;

/**
 * The answer to {@link IntentAsk}. Immutable; the array is not copied.
 *
 * @param kind what is said
 * @param code why, if the key cannot be used
 * @param answer the answer, if it is kept in the record
 * @param holder the node that dispatched the key, if it was answered
 */
public record IntentReply(ReplyKind kind, @Nullable RefusalCode code, byte @Nullable [] answer,
		@Nullable String holder) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 61;

	static IntentReply of(ReplyKind kind) {
		return new IntentReply(kind, null, null, null);
	}

}
