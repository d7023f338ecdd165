package io.shallotspur.node.ledger;

import java.util.ArrayList;
import java.util.List;

import io.shallotspur.ledger.Intent;
import io.shallotspur.ledger.IntentDecision;

/**
 * The calls of one key on this node, of which one may be running it. Confined to the
 * scheduler of the ledger.
 */
final class KeyRun {

	/**
	 * How far the key has come on this node.
	 */
	enum Phase {

		/**
		 * The ledger has not said anything yet.
		 */
		ASKING,

		/**
		 * Another attempt holds the key.
		 */
		WAITING,

		/**
		 * One of the calls may dispatch the key.
		 */
		RUNNING,

		/**
		 * Nothing more is done for the key here.
		 */
		CLOSED

	}

	private final Intent intent;

	private final int shard;

	private final List<KeyCall> calls = new ArrayList<>();

	private Phase phase = Phase.ASKING;

	KeyRun(Intent intent, int shard) {
		this.intent = intent;
		this.shard = shard;
	}

	Intent intent() {
		return this.intent;
	}

	int shard() {
		return this.shard;
	}

	Phase phase() {
		return this.phase;
	}

	void setPhase(Phase phase) {
		this.phase = phase;
	}

	boolean isClosed() {
		return this.phase == Phase.CLOSED;
	}

	void add(KeyCall c) {
		this.calls.add(c);
	}

	void remove(KeyCall c) {
		this.calls.remove(c);
	}

	boolean holds(KeyCall c) {
		return this.calls.contains(c);
	}

	boolean isDeserted() {
		return this.calls.isEmpty();
	}

	long lastDeadline() {
		return this.calls.stream().mapToLong(KeyCall::deadlineAt).max().orElse(0);
	}

	/**
	 * Lets the first of the waiting calls run the key.
	 * @return whether there was one
	 */
	boolean grantFirst() {
		if (this.calls.isEmpty()) {
			return false;
		}
		this.phase = Phase.RUNNING;
		this.calls.remove(0).tell(new IntentDecision.Run());
		return true;
	}

	void tellAll(IntentDecision d) {
		List<KeyCall> all = List.copyOf(this.calls);
		this.calls.clear();
		all.forEach((c) -> c.tell(d));
	}

}
