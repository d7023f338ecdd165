package io.shallotspur.node.ledger;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts what the ledger does, for operators. Thread-safe.
 */
final class LedgerMeter {

	private final Counter reads;

	private final Counter writes;

	private final Counter conflicts;

	private final Counter lost;

	private final Counter settled;

	private final Counter refused;

	private final Counter dropped;

	private final Histogram batch;

	LedgerMeter(MetricRegistry registry) {
		this.reads = registry.counter("ledger.store.reads");
		this.writes = registry.counter("ledger.store.writes");
		this.conflicts = registry.counter("ledger.store.conflicts");
		this.lost = registry.counter("ledger.store.lost-answers");
		this.settled = registry.counter("ledger.store.settled-as-written");
		this.refused = registry.counter("ledger.refused.store-unavailable");
		this.dropped = registry.counter("ledger.ends.dropped");
		this.batch = registry.histogram("ledger.batch.intents");
	}

	void read() {
		this.reads.inc();
	}

	void write(int intents) {
		this.writes.inc();
		this.batch.update(intents);
	}

	void conflict() {
		this.conflicts.inc();
	}

	void lostAnswer() {
		this.lost.inc();
	}

	void settledAsWritten() {
		this.settled.inc();
	}

	void storeUnavailable() {
		this.refused.inc();
	}

	void endDropped() {
		this.dropped.inc();
	}

}
