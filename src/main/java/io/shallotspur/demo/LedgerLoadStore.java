package io.shallotspur.demo;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreLease;
import io.shallotspur.port.StoreRecord;

/**
 * A key-value service in virtual time that takes some milliseconds for each call and a
 * bounded number of writes a second; further writes queue. Not thread-safe.
 */
final class LedgerLoadStore implements KvStore {

	private static final double SECOND_MS = 1_000;

	private final VirtualTime time;

	private final long latencyMs;

	private final double writeMs;

	private final Map<String, StoreRecord> records = new HashMap<>();

	private double freeAt;

	private long writes;

	private long reads;

	private long bytes;

	private int largest;

	LedgerLoadStore(VirtualTime time, long latencyMs, int writesPerSecond) {
		this.time = time;
		this.latencyMs = latencyMs;
		this.writeMs = SECOND_MS / writesPerSecond;
	}

	long writes() {
		return this.writes;
	}

	long reads() {
		return this.reads;
	}

	long bytes() {
		return this.bytes;
	}

	int largest() {
		return this.largest;
	}

	@Override
	public Mono<StoreRecord> get(String key) {
		return Mono.create((sink) -> {
			this.reads++;
			this.time.after(this.latencyMs, () -> {
				StoreRecord r = this.records.get(key);
				if (r != null) {
					sink.success(r);
				}
				else {
					sink.success();
				}
			});
		});
	}

	@Override
	public Mono<Long> compareAndSwap(String key, long expected, byte[] value) {
		return Mono.create((sink) -> {
			this.writes++;
			this.bytes += value.length;
			this.largest = Math.max(this.largest, value.length);
			this.freeAt = Math.max(this.freeAt, this.time.now()) + this.writeMs;
			long delay = this.latencyMs + (long) (this.freeAt - this.time.now());
			this.time.after(delay, () -> write(key, expected, value, sink));
		});
	}

	private void write(String key, long expected, byte[] value, MonoSink<Long> sink) {
		StoreRecord r = this.records.get(key);
		if (((r != null) ? r.version() : ABSENT) != expected) {
			sink.error(new StoreConflictException("another version", key));
			return;
		}
		this.records.put(key, new StoreRecord(key, expected + 1, value));
		sink.success(expected + 1);
	}

	@Override
	public Mono<List<StoreRecord>> list(String prefix) {
		return Mono.error(new StoreUnavailableException("not part of the measurement", prefix));
	}

	@Override
	public Mono<StoreLease> lease(String name, String holder, long ttlMs) {
		return Mono.error(new StoreUnavailableException("not part of the measurement", name));
	}

	@Override
	public Mono<Void> release(String name, String holder) {
		return Mono.error(new StoreUnavailableException("not part of the measurement", name));
	}

	@Override
	public Flux<StoreRecord> watch(String prefix) {
		return Flux.error(new StoreUnavailableException("not part of the measurement", prefix));
	}

}
