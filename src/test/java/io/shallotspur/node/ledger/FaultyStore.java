package io.shallotspur.node.ledger;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.exc.StoreUnknownException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreLease;
import io.shallotspur.port.StoreRecord;

/**
 * A store in virtual time whose writes are refused, lost before or after their effect, or
 * land after their writer has given up, by seeded chance or as a test says.
 */
final class FaultyStore implements KvStore {

	enum Fault {

		NONE, REFUSED, LOST_BEFORE, LOST_AFTER, LANDS_LATE

	}

	private final Scheduler time;

	private final SplittableRandom random;

	private final Map<String, StoreRecord> records = new HashMap<>();

	private int faultPercent;

	private Fault next = Fault.NONE;

	private boolean down;

	private boolean hung;

	private int writes;

	FaultyStore(Scheduler time, long seed) {
		this.time = time;
		this.random = new SplittableRandom(seed);
	}

	void setFaultPercent(int percent) {
		this.faultPercent = percent;
	}

	void failNext(Fault fault) {
		this.next = fault;
	}

	void setDown(boolean down) {
		this.down = down;
	}

	void setHung(boolean hung) {
		this.hung = hung;
	}

	int writes() {
		return this.writes;
	}

	@Override
	public Mono<StoreRecord> get(String key) {
		return Mono.defer(() -> {
			if (this.hung) {
				return Mono.never();
			}
			if (this.down) {
				return Mono.error(new StoreUnavailableException("down", key));
			}
			return delayed(Mono.justOrEmpty(this.records.get(key)));
		});
	}

	@Override
	public Mono<List<StoreRecord>> list(String prefix) {
		return Mono.error(new StoreUnavailableException("not needed here", prefix));
	}

	@Override
	public Mono<Long> compareAndSwap(String key, long expected, byte[] value) {
		return Mono.defer(() -> {
			this.writes++;
			Fault f = fault();
			return switch (f) {
				case NONE -> delayed(Mono.defer(() -> write(key, expected, value)));
				case REFUSED -> Mono.error(new StoreUnavailableException("down", key));
				case LOST_BEFORE -> delayed(Mono.error(new StoreUnknownException("lost", key)));
				case LOST_AFTER -> delayed(Mono.defer(() -> write(key, expected, value)))
					.then(Mono.error(new StoreUnknownException("lost", key)));
				case LANDS_LATE -> landLate(key, expected, value);
			};
		});
	}

	@Override
	public Mono<StoreLease> lease(String name, String holder, long ttlMs) {
		return Mono.error(new StoreUnavailableException("not needed here", name));
	}

	@Override
	public Mono<Void> release(String name, String holder) {
		return Mono.error(new StoreUnavailableException("not needed here", name));
	}

	@Override
	public Flux<StoreRecord> watch(String prefix) {
		return Flux.error(new StoreUnavailableException("not needed here", prefix));
	}

	private Fault fault() {
		Fault f = this.next;
		this.next = Fault.NONE;
		if (this.hung) {
			return Fault.LANDS_LATE;
		}
		if (this.down) {
			return Fault.REFUSED;
		}
		if (f == Fault.NONE && this.random.nextInt(100) < this.faultPercent) {
			f = Fault.values()[1 + this.random.nextInt(Fault.values().length - 1)];
		}
		return f;
	}

	private Mono<Long> landLate(String key, long expected, byte[] value) {
		this.time.schedule(() -> write(key, expected, value).subscribe((v) -> {
		}, (ex) -> {
		}), 500 + this.random.nextInt(2_500), TimeUnit.MILLISECONDS);
		return Mono.never();
	}

	private Mono<Long> write(String key, long expected, byte[] value) {
		StoreRecord r = this.records.get(key);
		if (((r != null) ? r.version() : ABSENT) != expected) {
			return Mono.error(new StoreConflictException("version", key));
		}
		this.records.put(key, new StoreRecord(key, expected + 1, value));
		return Mono.just(expected + 1);
	}

	private <T> Mono<T> delayed(Mono<T> answer) {
		return Mono.delay(Duration.ofMillis(2 + this.random.nextInt(4)), this.time).then(answer);
	}

}
