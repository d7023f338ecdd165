package io.shallotspur.node.quarantine;

import io.shallotspur.port.MessageRegistry;
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
	 * @param registry takes them
	 * @param <R> the type of the registry
	 * @return the same registry
	 */
	public static <R extends MessageRegistry> R register(R registry) {
		registry.register(SuspectsTold.TYPE, SuspectsTold.class).register(SuspectsAsk.TYPE, SuspectsAsk.class);
		return registry;
	}

}
