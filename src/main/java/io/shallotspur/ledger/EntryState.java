package io.shallotspur.ledger;

import org.jspecify.annotations.Nullable;

/**
 * State of the request that belongs to an idempotency key. Immutable.
 */
public sealed interface EntryState {

	/**
	 * Checks whether the result of an attempt may replace this state. Transitions only
	 * add certainty: an answered entry stays answered, and an entry with unknown outcome
	 * may later become answered or not started.
	 * @param next the state reported by or on behalf of the same attempt
	 * @return {@code true} if the transition is allowed
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
	 * The request was definitely not run; the key can be claimed as if it were new.
	 */
	record NotStarted() implements EntryState {

	}

	/**
	 * The intent is recorded; the request may have been dispatched.
	 */
	record InFlight() implements EntryState {

	}

	/**
	 * The request was run and answered.
	 *
	 * @param answer the answer if it is small enough to be stored inline; otherwise
	 * {@code null}, and the node of the attempt may still hold it
	 */
	record Answered(byte @Nullable [] answer) implements EntryState {

	}

	/**
	 * The request may have been run, but its answer is lost.
	 */
	record Unknown() implements EntryState {

	}

}
