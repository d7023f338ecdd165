package io.shallotspur.standin;

import java.time.Duration;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * What one worker publishes: late, and with gaps. Confined to the stand-in's thread, but
 * for the readers.
 */
final class WorkerReports {

	private final Scheduler thread;

	private final long lagMs;

	private final int gapEvery;

	private Sinks.Empty<String> crashed = Sinks.empty();

	private Sinks.Many<String> sink = Sinks.many().multicast().directBestEffort();

	private long sequence;

	WorkerReports(Scheduler thread, long lagMs, int gapEvery) {
		this.thread = thread;
		this.lagMs = lagMs;
		this.gapEvery = gapEvery;
	}

	Flux<String> follow(String first) {
		Flux<String> later = this.sink.asFlux().onBackpressureBuffer();
		Flux<String> late = Flux.just(first)
			.concatWith(later.delaySequence(Duration.ofMillis(this.lagMs), this.thread));
		// A crash breaks the connection at once, however late the reports are.
		return Flux.merge(this.crashed.asMono(), late);
	}

	void publish(String load) {
		this.sink.tryEmitNext(load);
	}

	void cache(long block, boolean stored) {
		this.sequence++;
		if (this.gapEvery > 0 && this.sequence % this.gapEvery == 0) {
			return;
		}
		this.sink.tryEmitNext("{\"sequence\":" + this.sequence + ",\"block\":" + block + ",\"stored\":" + stored + "}");
	}

	void crash() {
		this.crashed.tryEmitError(StandinFault.crashed());
		this.crashed = Sinks.empty();
		this.sink = Sinks.many().multicast().directBestEffort();
	}

}
