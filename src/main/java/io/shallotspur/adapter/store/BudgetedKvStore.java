package io.shallotspur.adapter.store;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreLease;
import io.shallotspur.port.StoreRecord;

/**
 * Keeps this VM within its part of the store's rates. Thread-safe.
 * <p>
 * The store counts each call and each waiting watch, and its rates do not grow with the
 * fleet. So the rates are shared out over the live members. A call over the rate waits a
 * little, and is refused without having been sent if the wait would be too long: after an
 * outage the whole fleet calls again at once, and an unbounded queue would turn that into
 * minutes of calls that nobody waits for.
 */
public final class BudgetedKvStore implements KvStore {

	private static final double MIN_BURST = 8;

	private final KvStore store;

	private final StoreBudget budget;

	private final LongSupplier clock;

	private final TokenBucket reads;

	private final TokenBucket writes;

	private final CallMeter readMeter = new CallMeter();

	private final CallMeter writeMeter = new CallMeter();

	private final AtomicInteger openWatches = new AtomicInteger();

	private long refused;

	/**
	 * Creates a budget for a fleet of one.
	 * @param store the store
	 * @param budget the rates of the whole fleet
	 * @param clock gives the present time in milliseconds
	 */
	public BudgetedKvStore(KvStore store, StoreBudget budget, LongSupplier clock) {
		this.store = store;
		this.budget = budget;
		this.clock = clock;
		long now = clock.getAsLong();
		this.reads = new TokenBucket(budget.readsPerSecond(), burst(budget.readsPerSecond()), now);
		this.writes = new TokenBucket(budget.writesPerSecond(), burst(budget.writesPerSecond()), now);
	}

	/**
	 * Shares the rates out over the fleet.
	 * @param live the live members, this VM among them, at least 1
	 */
	public synchronized void setMembers(int live) {
		long now = this.clock.getAsLong();
		double r = this.budget.readsPerSecond() / live;
		double w = this.budget.writesPerSecond() / live;
		this.reads.setRate(r, burst(r), now);
		this.writes.setRate(w, burst(w), now);
	}

	/**
	 * Returns the present use.
	 * @return the calls of the last whole second, and more
	 */
	public synchronized StoreUse use() {
		long now = this.clock.getAsLong();
		return new StoreUse(this.readMeter.lastSecond(now), this.writeMeter.lastSecond(now), this.openWatches.get(),
				this.readMeter.total(), this.writeMeter.total(), this.refused);
	}

	@Override
	public Mono<StoreRecord> get(String key) {
		return admit(this.reads, this.readMeter, key).then(Mono.defer(() -> this.store.get(key)));
	}

	@Override
	public Mono<List<StoreRecord>> list(String prefix) {
		return admit(this.reads, this.readMeter, prefix).then(Mono.defer(() -> this.store.list(prefix)));
	}

	@Override
	public Mono<Long> compareAndSwap(String key, long expected, byte[] value) {
		return admit(this.writes, this.writeMeter, key)
			.then(Mono.defer(() -> this.store.compareAndSwap(key, expected, value)));
	}

	@Override
	public Mono<StoreLease> lease(String name, String holder, long ttlMs) {
		return admit(this.writes, this.writeMeter, name).then(Mono.defer(() -> this.store.lease(name, holder, ttlMs)));
	}

	@Override
	public Mono<Void> release(String name, String holder) {
		return admit(this.writes, this.writeMeter, name).then(Mono.defer(() -> this.store.release(name, holder)));
	}

	@Override
	public Flux<StoreRecord> watch(String prefix) {
		return admit(this.reads, this.readMeter, prefix).thenMany(Flux.defer(() -> {
			this.openWatches.incrementAndGet();
			return this.store.watch(prefix).doFinally((s) -> this.openWatches.decrementAndGet());
		}));
	}

	private Mono<Void> admit(TokenBucket bucket, CallMeter meter, String key) {
		return Mono.defer(() -> {
			long wait = take(bucket, meter);
			if (wait < 0) {
				return Mono.error(new StoreUnavailableException("this VM's part of the store's rate is used up", key));
			}
			return (wait == 0) ? Mono.empty() : Mono.delay(Duration.ofMillis(wait)).then();
		});
	}

	private synchronized long take(TokenBucket bucket, CallMeter meter) {
		long now = this.clock.getAsLong();
		long wait = bucket.take(now, this.budget.maxWaitMs());
		if (wait < 0) {
			this.refused++;
		}
		else {
			meter.count(now);
		}
		return wait;
	}

	private static double burst(double perSecond) {
		return Math.max(MIN_BURST, perSecond);
	}

}
