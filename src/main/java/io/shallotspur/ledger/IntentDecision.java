package io.shallotspur.ledger;

import io.shallotspur.outcome.Refusal;

/**
 * Decision on a request that may run at most once. Immutable.
 */
public sealed interface IntentDecision {

	/**
	 * The intent is recorded and this call may dispatch the request.
	 */
	record Run() implements IntentDecision {

	}

	/**
	 * The request was already answered; the stored answer is returned.
	 *
	 * @param answer the answer that was passed to {@link IntentLedger#recordAnswer}
	 */
	record Answered(byte[] answer) implements IntentDecision {

	}

	/**
	 * This call must not dispatch the request.
	 *
	 * @param refusal the refusal to return to the caller
	 */
	record Refused(Refusal refusal) implements IntentDecision {

	}

}
