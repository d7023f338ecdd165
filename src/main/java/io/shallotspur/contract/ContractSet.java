package io.shallotspur.contract;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A snapshot of all contracts, indexed by customer and by key hash. Immutable. A reader
 * uses one instance for an entire decision, so that the decision is consistent.
 */
public final class ContractSet {

	private static final ContractSet EMPTY = new ContractSet(Map.of(), Map.of(), false);

	private final Map<String, Contract> byCustomer;

	private final Map<String, Contract> byKeyHash;

	private final boolean partial;

	private ContractSet(Map<String, Contract> byCustomer, Map<String, Contract> byKeyHash, boolean partial) {
		this.byCustomer = byCustomer;
		this.byKeyHash = byKeyHash;
		this.partial = partial;
	}

	/**
	 * Returns a set without contracts.
	 * @return the empty set
	 */
	public static ContractSet empty() {
		return EMPTY;
	}

	/**
	 * Creates a set. If there are several contracts of one customer, the one with the
	 * highest revision is kept.
	 * @param contracts the contracts, including tombstones
	 * @return the set
	 */
	public static ContractSet of(Collection<Contract> contracts) {
		Map<String, Contract> latest = new HashMap<>();
		for (Contract c : contracts) {
			latest.merge(c.customer(), c, (a, b) -> (b.revision() >= a.revision()) ? b : a);
		}
		Map<String, Contract> byHash = new HashMap<>();
		for (Contract c : latest.values()) {
			if (!c.retired()) {
				c.keyHashes().forEach((hash) -> byHash.put(hash, c));
			}
		}
		return new ContractSet(Map.copyOf(latest), Map.copyOf(byHash), false);
	}

	/**
	 * Returns the same contracts, marked as not all that are in force.
	 * @return a new set
	 */
	public ContractSet asPartial() {
		return new ContractSet(this.byCustomer, this.byKeyHash, true);
	}

	/**
	 * Returns whether contracts may be in force that this set lacks, so that a customer
	 * who is not found must not be told that there is no contract.
	 * @return {@code true} if so
	 */
	public boolean isPartial() {
		return this.partial;
	}

	/**
	 * Finds a customer's contract that is in force.
	 * @param customer the customer's name
	 * @return the contract, or empty if there is none or it is retired
	 */
	public Optional<Contract> find(String customer) {
		return Optional.ofNullable(this.byCustomer.get(customer)).filter((c) -> !c.retired());
	}

	/**
	 * Finds the contract in force to which a bearer token belongs.
	 * @param keyHash the SHA-256 hash of the token in lower-case hex
	 * @return the contract, or empty if no contract in force has that key
	 */
	public Optional<Contract> findByKeyHash(String keyHash) {
		return Optional.ofNullable(this.byKeyHash.get(keyHash));
	}

	/**
	 * Returns all contracts, including tombstones.
	 * @return an unmodifiable collection in no particular order
	 */
	public Collection<Contract> all() {
		return this.byCustomer.values();
	}

}
