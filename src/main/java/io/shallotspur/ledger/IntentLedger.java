package io.shallotspur.ledger;

import reactor.core.publisher.Mono;

/**
 * Lets a request run at most once, over all entry VMs. Thread-safe.
 * <p>
 * Invariant: of all calls to {@link #begin} for one key, on all nodes and for all time,
 * at most one is given {@link IntentDecision.Run} unless {@link #recordNotRun} followed the one
 * before.
 */
public interface IntentLedger {

	/**
	 * Records the intent to run a request. A call for a key that is in flight on this or
	 * another node waits for its end, up to the deadline. Never fails: a store that is
	 * down gives {@link IntentDecision.Refused}.
	 * @param key names the request
	 * @param bodyHash hash of what is to be run, to recognise a key used for another body
	 * @param now the present time in milliseconds
	 * @param deadlineAt when the caller gives up, in milliseconds
	 * @return what to do
	 */
	Mono<IntentDecision> begin(IntentKey key, long bodyHash, long now, long deadlineAt);

	/**
	 * Records the answer of a request that was run.
	 * @param key names the request
	 * @param answer the answer, given to later calls of the same key
	 * @param now the present time in milliseconds
	 * @return completes when the answer is recorded as well as it can be; never fails
	 */
	Mono<Void> recordAnswer(IntentKey key, byte[] answer, long now);

	/**
	 * Records that a request may have been run and its answer is lost.
	 * @param key names the request
	 * @param now the present time in milliseconds
	 * @return completes when this is recorded as well as it can be; never fails
	 */
	Mono<Void> recordUnknown(IntentKey key, long now);

	/**
	 * Records that a request whose intent was recorded surely was not run, so that a
	 * later call may run it.
	 * @param key names the request
	 * @param now the present time in milliseconds
	 * @return completes when this is recorded as well as it can be; never fails
	 */
	Mono<Void> recordNotRun(IntentKey key, long now);

}
