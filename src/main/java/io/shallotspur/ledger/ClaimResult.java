package io.shallotspur.ledger;

import io.shallotspur.outcome.RefusalCode;

/**
 * What a shard says to an intent. Immutable.
 */
public sealed interface ClaimResult {

	/**
	 * The key is free; the intent may be committed, and only then be run.
	 */
	record Unclaimed() implements ClaimResult {

	}

	/**
	 * The intent is committed for this very attempt, which may dispatch it once.
	 */
	record Granted() implements ClaimResult {

	}

	/**
	 * The key belongs to another attempt.
	 *
	 * @param entry what is known of it
	 */
	record AlreadyClaimed(LedgerEntry entry) implements ClaimResult {

	}

	/**
	 * The key cannot be used.
	 *
	 * @param code why
	 */
	record Denied(RefusalCode code) implements ClaimResult {

	}

}
