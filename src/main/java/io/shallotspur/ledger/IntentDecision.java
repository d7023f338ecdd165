package io.shallotspur.ledger;

import io.shallotspur.outcome.Refusal;

/**
 * What is to be done with a request that may be run once at most. Immutable.
 */
public sealed interface IntentDecision {

	/**
	 * The intent is recorded and this call is the one that may dispatch it.
	 */
	record Run() implements IntentDecision {

	}

	/**
	 * The request was answered before; the same answer is given again.
	 *
	 * @param answer the answer as it was given to {@link IntentLedger#recordAnswer}
	 */
	record Answered(byte[] answer) implements IntentDecision {

	}

	/**
	 * The request is not to be dispatched by this call.
	 *
	 * @param refusal what the caller is told
	 */
	record Refused(Refusal refusal) implements IntentDecision {

	}

}
