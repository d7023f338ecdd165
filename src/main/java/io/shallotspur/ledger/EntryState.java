package io.shallotspur.ledger;

import org.jspecify.annotations.Nullable;

/**
 * How far the request of a key has come. Immutable.
 */
public sealed interface EntryState {

	/**
	 * Tells whether the end of an attempt may replace this state. A state only gains
	 * certainty: what was answered stays so, and what was given up for unknown may turn
	 * out answered or not run.
	 * @param next the state told by or for the same attempt
	 * @return {@code true} if it replaces this one
	 */
	default boolean canTransitionTo(EntryState next) {
		if (next instanceof InFlight) {
			return false;
		}
		if (this instanceof InFlight) {
			return true;
		}
		return this instanceof Unknown && !(next instanceof Unknown);
	}

	/**
	 * It was surely not run: as if the key had never been seen.
	 */
	record NotStarted() implements EntryState {

	}

	/**
	 * Its intent is recorded; it may have been dispatched.
	 */
	record InFlight() implements EntryState {

	}

	/**
	 * It was run and answered.
	 *
	 * @param answer the answer if it is small; else the node of the attempt may have it
	 */
	record Answered(byte @Nullable [] answer) implements EntryState {

	}

	/**
	 * It may have been run and its answer is lost.
	 */
	record Unknown() implements EntryState {

	}

}
