package io.shallotspur.standin.store;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreLease;
import io.shallotspur.port.StoreRecord;

/**
 * The key-value stand-in without HTTP, for measurements in virtual time. It answers at
 * once, in the thread that subscribes. Thread-safe.
 */
public final class MemoryKvStore implements KvStore {

	private final StandinRecords records;

	private final Set<Watch> watches = ConcurrentHashMap.newKeySet();

	private final AtomicLong reads = new AtomicLong();

	private final AtomicLong writes = new AtomicLong();

	private final AtomicLong watchCalls = new AtomicLong();

	private volatile boolean down;

	/**
	 * Creates an empty store.
	 * @param clock gives the time that leases are counted by, in milliseconds
	 */
	public MemoryKvStore(LongSupplier clock) {
		this.records = new StandinRecords(clock);
	}

	/**
	 * Starts or ends an outage. Open watches end when it starts.
	 * @param down whether every call is refused
	 */
	public void setDown(boolean down) {
		this.down = down;
		if (down) {
			List<Watch> ended = List.copyOf(this.watches);
			this.watches.clear();
			ended.forEach((w) -> w.sink.error(refused(w.prefix)));
		}
	}

	/**
	 * Returns the calls counted so far.
	 * @return the counters
	 */
	public StoreCalls calls() {
		return new StoreCalls(this.reads.get(), this.writes.get(), this.watchCalls.get(), this.watches.size());
	}

	@Override
	public Mono<StoreRecord> get(String key) {
		return answer(this.reads, key, () -> Mono.justOrEmpty(this.records.get(key)));
	}

	@Override
	public Mono<List<StoreRecord>> list(String prefix) {
		return answer(this.reads, prefix, () -> Mono.just(this.records.list(prefix)));
	}

	@Override
	public Mono<Long> compareAndSwap(String key, long expected, byte[] value) {
		return answer(this.writes, key, () -> {
			StoreRecord rec = this.records.compareAndSwap(key, expected, value);
			if (rec == null) {
				return Mono.error(new StoreConflictException("the record has another version", key));
			}
			this.watches.stream().filter((w) -> key.startsWith(w.prefix)).forEach((w) -> w.sink.next(rec));
			return Mono.just(rec.version());
		});
	}

	@Override
	public Mono<StoreLease> lease(String name, String holder, long ttlMs) {
		return answer(this.writes, name, () -> Mono.just(this.records.lease(name, holder, ttlMs)));
	}

	@Override
	public Mono<Void> release(String name, String holder) {
		return answer(this.writes, name, () -> {
			this.records.release(name, holder);
			return Mono.empty();
		});
	}

	@Override
	public Flux<StoreRecord> watch(String prefix) {
		return Flux.create((sink) -> {
			this.watchCalls.incrementAndGet();
			if (this.down) {
				sink.error(refused(prefix));
				return;
			}
			Watch w = new Watch(prefix, sink);
			sink.onDispose(() -> this.watches.remove(w));
			this.watches.add(w);
		});
	}

	private <T> Mono<T> answer(AtomicLong counter, String key, Supplier<Mono<T>> call) {
		return Mono.defer(() -> {
			counter.incrementAndGet();
			return this.down ? Mono.error(refused(key)) : call.get();
		});
	}

	private static StoreUnavailableException refused(String key) {
		return new StoreUnavailableException("the store is down", key);
	}

	/**
	 * An open watch; a class and not a record because two watches of one prefix differ.
	 */
	private static final class Watch {

		private final String prefix;

		private final FluxSink<StoreRecord> sink;

		private Watch(String prefix, FluxSink<StoreRecord> sink) {
			this.prefix = Objects.requireNonNull(prefix);
			this.sink = sink;
		}

	}

}
