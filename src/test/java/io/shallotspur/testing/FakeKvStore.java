package io.shallotspur.testing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.exc.StoreUnknownException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreLease;
import io.shallotspur.port.StoreRecord;

/**
 * An in-memory key-value service that fails when a test says so. Without a delay every
 * answer is given in the thread that subscribes. Each subscription is one call.
 * Thread-safe; deterministic as long as the test calls it in a fixed order.
 */
public final class FakeKvStore implements KvStore {

	/**
	 * What happens to one write.
	 */
	public enum Fault {

		/**
		 * The write takes effect and is answered.
		 */
		NONE,

		/**
		 * Nothing is written, and the caller is told so.
		 */
		REFUSED,

		/**
		 * Nothing is written, and the caller learns nothing.
		 */
		LOST_BEFORE_EFFECT,

		/**
		 * The write takes effect, and the caller learns nothing.
		 */
		LOST_AFTER_EFFECT

	}

	private final TreeMap<String, StoreRecord> records = new TreeMap<>();

	private final Map<String, Lease> leases = new HashMap<>();

	private final Deque<Fault> faults = new ArrayDeque<>();

	private final List<Watch> watches = new CopyOnWriteArrayList<>();

	private final List<Runnable> held = new ArrayList<>();

	private @Nullable Scheduler scheduler;

	private long delayMs;

	private long nowMs;

	private boolean down;

	private boolean holding;

	private boolean stale;

	private int reads;

	private int writes;

	private int watchCalls;

	/**
	 * Sets what happens to the next writes (compare-and-swap calls), one fault a write.
	 * @param next the faults in order
	 * @return this store
	 */
	public synchronized FakeKvStore failNextWrites(Fault... next) {
		this.faults.addAll(List.of(next));
		return this;
	}

	/**
	 * Starts or ends an outage. During one every call is refused without effect, and the
	 * open watches end with an error.
	 * @param down whether the store is down
	 */
	public void setDown(boolean down) {
		synchronized (this) {
			this.down = down;
		}
		if (down) {
			List<Watch> ended = List.copyOf(this.watches);
			this.watches.clear();
			ended.forEach((w) -> w.sink().error(refused(w.prefix())));
		}
	}

	/**
	 * Delays each answer. The effect is not delayed.
	 * @param delayMs how long, in milliseconds; 0 for not at all
	 * @param scheduler counts the time, for instance a virtual one
	 */
	public synchronized void setDelay(long delayMs, Scheduler scheduler) {
		this.delayMs = delayMs;
		this.scheduler = scheduler;
	}

	/**
	 * Keeps back all answers until {@link #releaseAnswers()}. Effects take place at once.
	 */
	public synchronized void holdAnswers() {
		this.holding = true;
	}

	/**
	 * Gives the answers that were kept back, in order, and keeps back no more.
	 */
	public void releaseAnswers() {
		List<Runnable> due;
		synchronized (this) {
			this.holding = false;
			due = List.copyOf(this.held);
			this.held.clear();
		}
		due.forEach(Runnable::run);
	}

	/**
	 * Stops or resumes the delivery of changes to watches. What changed meanwhile is
	 * never delivered, as with a watch that is served by a replica that lags.
	 * @param stale whether watches are stale
	 */
	public synchronized void setStaleWatches(boolean stale) {
		this.stale = stale;
	}

	/**
	 * Delivers a record to the watches that cover its key, whatever the store holds: an
	 * old version, or one twice.
	 * @param rec the record
	 */
	public void deliver(StoreRecord rec) {
		for (Watch w : this.watches) {
			if (rec.key().startsWith(w.prefix())) {
				w.sink().next(rec);
			}
		}
	}

	/**
	 * Sets the clock that leases are counted by.
	 * @param nowMs the present time in milliseconds
	 */
	public synchronized void setNow(long nowMs) {
		this.nowMs = nowMs;
	}

	/**
	 * Writes a record as another client would, whatever its version.
	 * @param key the key
	 * @param value the value
	 * @return the new version
	 */
	public long put(String key, byte[] value) {
		StoreRecord rec;
		synchronized (this) {
			rec = new StoreRecord(key, versionOf(key) + 1, value);
			this.records.put(key, rec);
		}
		announce(rec);
		return rec.version();
	}

	/**
	 * Reads a record without counting a call.
	 * @param key the key
	 * @return the record, or {@code null} if there is none
	 */
	public synchronized @Nullable StoreRecord peek(String key) {
		return this.records.get(key);
	}

	/**
	 * Returns how many reads were asked for.
	 * @return the number of get and list calls
	 */
	public synchronized int reads() {
		return this.reads;
	}

	/**
	 * Returns how many writes were asked for.
	 * @return the number of compare-and-swap, lease and release calls
	 */
	public synchronized int writes() {
		return this.writes;
	}

	/**
	 * Returns how many watches were opened.
	 * @return the number of watch calls
	 */
	public synchronized int watchCalls() {
		return this.watchCalls;
	}

	/**
	 * Returns how many watches are open.
	 * @return the number of watches
	 */
	public int openWatches() {
		return this.watches.size();
	}

	@Override
	public Mono<StoreRecord> get(String key) {
		return answer(key, () -> {
			this.reads++;
			return this.down ? Mono.error(refused(key)) : Mono.justOrEmpty(this.records.get(key));
		});
	}

	@Override
	public Mono<List<StoreRecord>> list(String prefix) {
		return answer(prefix, () -> {
			this.reads++;
			return this.down ? Mono.error(refused(prefix)) : Mono.just(under(prefix));
		});
	}

	@Override
	public Mono<Long> compareAndSwap(String key, long expected, byte[] value) {
		return Mono.defer(() -> {
			Write w = write(key, expected, value);
			if (w.written() != null) {
				announce(w.written());
			}
			return this.<Long>later(w.answer());
		});
	}

	@Override
	public Mono<StoreLease> lease(String name, String holder, long ttlMs) {
		return answer(name, () -> {
			this.writes++;
			return this.down ? Mono.error(refused(name)) : Mono.just(take(name, holder, ttlMs));
		});
	}

	@Override
	public Mono<Void> release(String name, String holder) {
		return answer(name, () -> {
			this.writes++;
			if (this.down) {
				return Mono.error(refused(name));
			}
			Lease l = this.leases.get(name);
			if (l != null && l.holder().equals(holder)) {
				this.leases.put(name, new Lease(holder, l.token(), this.nowMs));
			}
			return Mono.empty();
		});
	}

	@Override
	public Flux<StoreRecord> watch(String prefix) {
		return Flux.create((sink) -> {
			synchronized (this) {
				this.watchCalls++;
				if (!this.down) {
					Watch w = new Watch(prefix, sink);
					sink.onDispose(() -> this.watches.remove(w));
					this.watches.add(w);
					return;
				}
			}
			sink.error(refused(prefix));
		});
	}

	private Write write(String key, long expected, byte[] value) {
		synchronized (this) {
			this.writes++;
			Fault f = this.faults.isEmpty() ? Fault.NONE : this.faults.poll();
			if (this.down || f == Fault.REFUSED) {
				return new Write(null, Mono.error(refused(key)));
			}
			if (f == Fault.LOST_BEFORE_EFFECT) {
				return new Write(null, Mono.error(unknown(key)));
			}
			boolean match = versionOf(key) == expected;
			StoreRecord rec = null;
			if (match) {
				rec = new StoreRecord(key, expected + 1, value.clone());
				this.records.put(key, rec);
			}
			if (f == Fault.LOST_AFTER_EFFECT) {
				return new Write(rec, Mono.error(unknown(key)));
			}
			return new Write(rec,
					match ? Mono.just(expected + 1) : Mono.error(new StoreConflictException("another version", key)));
		}
	}

	private StoreLease take(String name, String holder, long ttlMs) {
		Lease l = this.leases.get(name);
		if (l == null) {
			l = new Lease(holder, 1, this.nowMs + ttlMs);
		}
		else if (l.holder().equals(holder) && l.endsAt() > this.nowMs) {
			l = new Lease(holder, l.token(), this.nowMs + ttlMs);
		}
		else if (l.endsAt() <= this.nowMs) {
			l = new Lease(holder, l.token() + 1, this.nowMs + ttlMs);
		}
		this.leases.put(name, l);
		return new StoreLease(name, l.holder(), l.token(), l.endsAt() - this.nowMs);
	}

	private List<StoreRecord> under(String prefix) {
		return this.records.tailMap(prefix).values().stream().takeWhile((r) -> r.key().startsWith(prefix)).toList();
	}

	private long versionOf(String key) {
		StoreRecord r = this.records.get(key);
		return (r != null) ? r.version() : ABSENT;
	}

	private void announce(StoreRecord rec) {
		synchronized (this) {
			if (this.stale) {
				return;
			}
		}
		deliver(rec);
	}

	private <T> Mono<T> answer(String key, Supplier<Mono<T>> call) {
		return Mono.defer(() -> {
			synchronized (this) {
				return later(call.get());
			}
		});
	}

	private synchronized <T> Mono<T> later(Mono<T> answer) {
		if (this.holding) {
			return Mono.create((sink) -> hold(sink, answer));
		}
		Scheduler s = this.scheduler;
		if (this.delayMs > 0 && s != null) {
			return Mono.delay(Duration.ofMillis(this.delayMs), s).then(answer);
		}
		return answer;
	}

	private synchronized <T> void hold(MonoSink<T> sink, Mono<T> answer) {
		this.held.add(() -> sink.onCancel(answer.subscribe(sink::success, sink::error, sink::success)));
	}

	private static StoreUnavailableException refused(String key) {
		return new StoreUnavailableException("the store is down", key);
	}

	private static StoreUnknownException unknown(String key) {
		return new StoreUnknownException("the answer was lost", key);
	}

	private record Lease(String holder, long token, long endsAt) {

	}

	private record Watch(String prefix, FluxSink<StoreRecord> sink) {

	}

	private record Write(@Nullable StoreRecord written, Mono<Long> answer) {

	}

}
