package io.shallotspur.node;

/**
 * Tells a caller which entry VMs to use. Implementations are thread-safe and answer from
 * memory.
 */
@FunctionalInterface
public interface Locator {

	/**
	 * Finds the entry VMs for the requests of a class.
	 * @param customer the customer
	 * @param className the class in the customer's contract
	 * @param now the present time in milliseconds
	 * @return the addresses; an empty list if there is none that takes new work
	 */
	Location locate(String customer, String className, long now);

}
