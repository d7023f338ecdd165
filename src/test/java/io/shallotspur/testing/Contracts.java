package io.shallotspur.testing;

import java.util.List;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.distribution.ContractChange;

/**
 * Contracts and changes for tests. Stateless.
 */
public final class Contracts {

	private Contracts() {
	}

	/**
	 * Creates a contract with one class.
	 * @param customer the customer
	 * @param share its share
	 * @return the contract with revision 0
	 */
	public static Contract contract(String customer, double share) {
		return new Contract(customer, 0, share, List.of(),
				List.of(new RequestClass("summary", "draft-llm", 2, 2000, 53, 15_000, true)), false);
	}

	/**
	 * Creates a change.
	 * @param id its id
	 * @param customer the customer
	 * @param share the new share
	 * @param expected the expected revision
	 * @return the change
	 */
	public static ContractChange change(String id, String customer, double share, long expected) {
		return new ContractChange(id, contract(customer, share), expected);
	}

}
