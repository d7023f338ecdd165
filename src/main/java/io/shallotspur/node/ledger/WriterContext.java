package io.shallotspur.node.ledger;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.ledger.BatchId;
import io.shallotspur.port.KvStore;

/**
 * What the writers of all shards of a node share. Confined to the scheduler of the
 * ledger.
 */
final class WriterContext {

	private final String self;

	private final long incarnation;

	private final LedgerSettings settings;

	private final KvStore store;

	private final Scheduler scheduler;

	private final LedgerMeter meter;

	private final SplittableRandom random;

	private long batches;

	WriterContext(String self, long incarnation, LedgerSettings settings, KvStore store, Scheduler scheduler,
			LedgerMeter meter) {
		this.self = self;
		this.incarnation = incarnation;
		this.settings = settings;
		this.store = store;
		this.scheduler = scheduler;
		this.meter = meter;
		this.random = new SplittableRandom(self.hashCode() * 31L + incarnation);
	}

	LedgerSettings settings() {
		return this.settings;
	}

	KvStore store() {
		return this.store;
	}

	LedgerMeter meter() {
		return this.meter;
	}

	long now() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	void later(long delayMs, Runnable task) {
		this.scheduler.schedule(task, Math.max(0, delayMs), TimeUnit.MILLISECONDS);
	}

	long jitter(long maxMs) {
		return this.random.nextLong(maxMs + 1);
	}

	BatchId nextBatch() {
		return new BatchId(this.self, this.incarnation, this.batches++);
	}

	<T> Mono<T> timed(Mono<T> call) {
		return call.timeout(Duration.ofMillis(this.settings.storeTimeoutMs()), this.scheduler)
			.publishOn(this.scheduler);
	}

}
