package io.shallotspur.contract;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The contracts in force at one moment, by customer. Immutable and freely shared: a
 * reader keeps one instance for the whole of a decision.
 */
public final class ContractSet {

	private static final ContractSet EMPTY = new ContractSet(Map.of(), Map.of());

	private final Map<String, Contract> byCustomer;

	private final Map<String, Contract> byKeyHash;

	private ContractSet(Map<String, Contract> byCustomer, Map<String, Contract> byKeyHash) {
		this.byCustomer = byCustomer;
		this.byKeyHash = byKeyHash;
	}

	/**
	 * Returns the set without contracts.
	 * @return the empty set
	 */
	public static ContractSet empty() {
		return EMPTY;
	}

	/**
	 * Creates a set. Of two contracts of one customer the one with the higher revision is
	 * kept.
	 * @param contracts the contracts, tombstones among them
	 * @return the set
	 */
	public static ContractSet of(Collection<Contract> contracts) {
		Map<String, Contract> m = new HashMap<>();
		for (Contract c : contracts) {
			m.merge(c.customer(), c, (a, b) -> (b.revision() >= a.revision()) ? b : a);
		}
		Map<String, Contract> keys = new HashMap<>();
		for (Contract c : m.values()) {
			if (!c.retired()) {
				c.keyHashes().forEach((k) -> keys.put(k, c));
			}
		}
		return new ContractSet(Map.copyOf(m), Map.copyOf(keys));
	}

	/**
	 * Finds the contract in force of a customer.
	 * @param customer the customer's name
	 * @return the contract, or empty if there is none or it is retired
	 */
	public Optional<Contract> find(String customer) {
		return Optional.ofNullable(this.byCustomer.get(customer)).filter((c) -> !c.retired());
	}

	/**
	 * Finds the contract that a bearer token belongs to.
	 * @param keyHash the SHA-256 of the token, lower-case hex
	 * @return the contract, or empty if no contract in force has that key
	 */
	public Optional<Contract> findByKeyHash(String keyHash) {
		return Optional.ofNullable(this.byKeyHash.get(keyHash));
	}

	/**
	 * Returns all contracts, tombstones among them.
	 * @return an unmodifiable collection in no particular order
	 */
	public Collection<Contract> all() {
		return this.byCustomer.values();
	}

}
