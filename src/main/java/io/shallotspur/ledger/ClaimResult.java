package io.shallotspur.ledger;

import io.shallotspur.outcome.RefusalCode;

/**
 * Result of evaluating an intent against a shard. Immutable.
 */
public sealed interface ClaimResult {

	/**
	 * The key is unclaimed. The intent may be committed; the request may run only after
	 * the commit.
	 */
	record Unclaimed() implements ClaimResult {

	}

	/**
	 * The intent of this attempt is committed; the attempt may dispatch the request once.
	 */
	record Granted() implements ClaimResult {

	}

	/**
	 * The key was claimed by another attempt, or the state of this attempt is already
	 * final.
	 *
	 * @param entry the existing entry of the key
	 */
	record AlreadyClaimed(LedgerEntry entry) implements ClaimResult {

	}

	/**
	 * The key cannot be used.
	 *
	 * @param code the reason
	 */
	record Denied(RefusalCode code) implements ClaimResult {

	}

}
