package io.shallotspur.node;

/**
 * Knows which entry VM admits which requests. Implementations are thread-safe and answer
 * from memory. Two VMs may hold different views for a while; the hop limit of forwarded
 * requests bounds what that costs.
 */
@FunctionalInterface
public interface Ownership {

	/**
	 * Finds the owner of a request.
	 * @param upstream the upstream that serves it
	 * @param customer the customer
	 * @param prefix hash of the first block of its prompt, or 0 if it has none
	 * @return the owner
	 */
	Owner find(String upstream, String customer, long prefix);

}
