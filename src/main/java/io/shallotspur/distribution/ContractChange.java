package io.shallotspur.distribution;

import io.shallotspur.contract.Contract;

/**
 * What an operator wants changed. Immutable.
 *
 * @param changeId unique; the same change sent twice is carried out once
 * @param contract the new terms; its revision is of no meaning
 * @param expected the revision that the operator has seen, {@link #NEW} if there must be
 * no contract in force, or {@link #ANY}
 */
public record ContractChange(String changeId, Contract contract, long expected) {

	/**
	 * There must be no contract in force for the customer.
	 */
	public static final long NEW = 0;

	/**
	 * Whatever the present revision is.
	 */
	public static final long ANY = -1;

}
