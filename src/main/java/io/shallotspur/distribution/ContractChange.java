package io.shallotspur.distribution;

import io.shallotspur.contract.Contract;

/**
 * What an operator wants changed. Immutable.
 *
 * @param changeId unique; the same change sent twice is carried out once
 * @param contract the new terms; its revision is of no meaning
 * @param expectedRevision the revision that the operator has seen, {@link #ABSENT} if there must be
 * no contract in force, or {@link #ANY_REVISION}
 */
public record ContractChange(String changeId, Contract contract, long expectedRevision) {

	/**
	 * There must be no contract in force for the customer.
	 */
	public static final long ABSENT = 0;

	/**
	 * Whatever the present revision is.
	 */
	public static final long ANY_REVISION = -1;

}
