package io.shallotspur.ledger;

import io.shallotspur.outcome.RefusalCode;

/**
 * What a shard says to an intent. Immutable.
 */
public sealed interface Verdict {

	/**
	 * The key is free; the intent may be committed, and only then be run.
	 */
	record Free() implements Verdict {

	}

	/**
	 * The intent is committed for this very attempt, which may dispatch it once.
	 */
	record Granted() implements Verdict {

	}

	/**
	 * The key belongs to another attempt.
	 *
	 * @param entry what is known of it
	 */
	record Taken(LedgerEntry entry) implements Verdict {

	}

	/**
	 * The key cannot be used.
	 *
	 * @param code why
	 */
	record Denied(RefusalCode code) implements Verdict {

	}

}
