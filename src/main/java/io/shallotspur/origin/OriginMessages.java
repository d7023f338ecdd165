package io.shallotspur.origin;

import io.shallotspur.port.MessageRegistry;

/**
 * The type numbers of the messages of this package. A number is never used again for
 * another type.
 */
public final class OriginMessages {

	private OriginMessages() {
	}

	/**
	 * Registers the messages.
	 * @param registry takes them
	 * @param <R> the type of the registry
	 * @return the same registry
	 */
	public static <R extends MessageRegistry> R register(R registry) {
		registry.register(OriginUpdate.TYPE, OriginUpdate.class)
			.register(OriginReceipt.TYPE, OriginReceipt.class)
			.register(OriginQuery.TYPE, OriginQuery.class)
			.register(OriginResult.TYPE, OriginResult.class);
		return registry;
	}

}
