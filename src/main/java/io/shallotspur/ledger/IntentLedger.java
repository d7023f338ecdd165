package io.shallotspur.ledger;

import reactor.core.publisher.Mono;

/**
 * Ensures that each request with an idempotency key runs at most once across all entry
 * VMs. Thread-safe.
 * <p>
 * Invariant: of all calls to {@link #begin} for one key, on all nodes and without a time
 * limit, at most one returns {@link IntentDecision.Run}. Another one may do so only after
 * {@link #recordNotRun} was called for the previous one.
 */
public interface IntentLedger {

	/**
	 * Records the intent to run a request. A call for a key that is in flight on this or
	 * another node waits for its result, at most until the deadline. The returned Mono
	 * never signals an error: if the store is unavailable, it emits
	 * {@link IntentDecision.Refused}.
	 * @param key identifies the request
	 * @param bodyHash hash of the content of the request (for plain calls the method,
	 * path, content type and body), used to detect reuse of the key for another request
	 * @param now the current time in milliseconds
	 * @param deadlineAt deadline of the caller in milliseconds
	 * @return the decision
	 */
	Mono<IntentDecision> begin(IntentKey key, long bodyHash, long now, long deadlineAt);

	/**
	 * Records the answer of a request that was run.
	 * @param key identifies the request
	 * @param answer the answer, which is returned to later calls with the same key
	 * @param now the current time in milliseconds
	 * @return completes after a best-effort attempt to record the answer; never signals
	 * an error
	 */
	Mono<Void> recordAnswer(IntentKey key, byte[] answer, long now);

	/**
	 * Records that a request may have been run, but its answer is lost.
	 * @param key identifies the request
	 * @param now the current time in milliseconds
	 * @return completes after a best-effort attempt to record this; never signals an
	 * error
	 */
	Mono<Void> recordUnknown(IntentKey key, long now);

	/**
	 * Records that a request whose intent was recorded was definitely not run, so that a
	 * later call may run it.
	 * @param key identifies the request
	 * @param now the current time in milliseconds
	 * @return completes after a best-effort attempt to record this; never signals an
	 * error
	 */
	Mono<Void> recordNotRun(IntentKey key, long now);

}
