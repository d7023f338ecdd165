package io.shallotspur.port;

/**
 * Takes the types of the messages between entry VMs while the peer adapter is set up. Not
 * thread-safe.
 */
@FunctionalInterface
public interface MessageRegistry {

	/**
	 * Registers a type. The number must never be used again for another type.
	 * @param typeNumber its number, at least 1
	 * @param type the record class
	 * @return this registry
	 */
	MessageRegistry register(int typeNumber, Class<? extends PeerMessage> type);

}
