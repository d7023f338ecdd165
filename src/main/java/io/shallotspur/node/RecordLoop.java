package io.shallotspur.node;

import java.time.Duration;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.record.NodeMetrics;
import io.shallotspur.record.RecordWriter;

/**
 * Writes the record every few seconds and moves the windows of the metrics on. Started
 * and closed once; thread-safe.
 */
public final class RecordLoop implements NodePart {

	private static final Duration EVERY = Duration.ofSeconds(10);

	private static final int TICKS_PER_WINDOW = 6;

	private final RecordWriter writer;

	private final NodeMetrics metrics;

	private final LongSupplier clock;

	private @Nullable Disposable loop;

	/**
	 * Creates a loop.
	 * @param writer writes the record
	 * @param metrics the metrics of the node
	 * @param clock gives the present time in milliseconds since the epoch
	 */
	public RecordLoop(RecordWriter writer, NodeMetrics metrics, LongSupplier clock) {
		this.writer = writer;
		this.metrics = metrics;
		this.clock = clock;
	}

	@Override
	public synchronized Mono<Void> start() {
		this.loop = Flux.interval(EVERY).onBackpressureDrop().concatMap(this::tick).subscribe();
		return Mono.empty();
	}

	@Override
	public synchronized Mono<Void> close() {
		if (this.loop != null) {
			this.loop.dispose();
		}
		return this.writer.close();
	}

	private Mono<Void> tick(long n) {
		if (n % TICKS_PER_WINDOW == 0) {
			this.metrics.rotate();
		}
		return this.writer.tick(this.clock.getAsLong());
	}

}
