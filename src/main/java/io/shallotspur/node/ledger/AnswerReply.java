package io.shallotspur.node.ledger;

import org.jspecify.annotations.Nullable;

import io.shallotspur.port.PeerMessage;

/**
 * The answer to {@link AnswerAsk}. Immutable; the array is not copied.
 *
 * @param answer the answer of the key, or {@code null} if it is no longer kept
 */
public record AnswerReply(byte @Nullable [] answer) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 65;

}
