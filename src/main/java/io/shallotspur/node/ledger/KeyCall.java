package io.shallotspur.node.ledger;

import reactor.core.publisher.MonoSink;

import io.shallotspur.ledger.IntentDecision;

/**
 * One call to the ledger that waits to be told what to do. Confined to the scheduler of
 * the ledger.
 *
 * @param sink takes the decision
 * @param deadlineAt when the caller gives up, in milliseconds of the scheduler
 * @param maybeResend whether its key is so old that an earlier call is likely
 */
record KeyCall(MonoSink<IntentDecision> sink, long deadlineAt, boolean maybeResend) {

	void tell(IntentDecision d) {
		this.sink.success(d);
	}

	@Override
	public boolean equals(Object o) {
		return this == o;
	}

	@Override
	public int hashCode() {
		return System.identityHashCode(this);
	}

}
