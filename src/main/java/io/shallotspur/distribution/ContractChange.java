package io.shallotspur.distribution;

import io.shallotspur.contract.Contract;

/**
 * A change of a contract requested by an operator. Immutable.
 *
 * @param changeId the unique id of the change; a change that is sent repeatedly is
 * applied once
 * @param contract the new terms; their revision is ignored
 * @param expectedRevision the revision that the change is based on, {@link #ABSENT} if
 * there must be no contract in force, or {@link #ANY_REVISION}
 */
public record ContractChange(String changeId, Contract contract, long expectedRevision) {

	/**
	 * The customer must have no contract in force.
	 */
	public static final long ABSENT = 0;

	/**
	 * The change applies to any revision.
	 */
	public static final long ANY_REVISION = -1;

}
