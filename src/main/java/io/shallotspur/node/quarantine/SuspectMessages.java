package io.shallotspur.node.quarantine;

import io.shallotspur.port.MessageRegistry;
import io.shallotspur.quarantine.SuspectsRequest;
import io.shallotspur.quarantine.SuspectsUpdate;

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
		registry.register(SuspectsUpdate.TYPE, SuspectsUpdate.class).register(SuspectsRequest.TYPE, SuspectsRequest.class);
		return registry;
	}

}
