package io.shallotspur.node.ledger;

import io.shallotspur.port.MessageRegistry;

/**
 * The type numbers of the messages of this package. A number is never used again for
 * another type.
 */
public final class LedgerMessages {

	private LedgerMessages() {
	}

	/**
	 * Registers the messages.
	 * @param registry takes them
	 * @param <R> the type of the registry
	 * @return the same registry
	 */
	public static <R extends MessageRegistry> R register(R registry) {
		registry.register(IntentAsk.TYPE, IntentAsk.class)
			.register(IntentReply.TYPE, IntentReply.class)
			.register(EndTold.TYPE, EndTold.class)
			.register(EndAck.TYPE, EndAck.class)
			.register(AnswerAsk.TYPE, AnswerAsk.class)
			.register(AnswerReply.TYPE, AnswerReply.class);
		return registry;
	}

}
