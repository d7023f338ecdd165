package io.shallotspur.node.cluster;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.contract.Contract;
import io.shallotspur.distribution.ContractStore;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.View;

/**
 * Looks at the store for contracts if this VM is one of the few that do. Not thread-safe:
 * the loop's thread calls it.
 * <p>
 * A watcher keeps one watch open and reads a part of the records every two seconds, in
 * turn, because a watch may be stale without saying so. Every other VM reads the store
 * only when it starts and no peer has the contracts.
 */
final class StoreWatcher {

	/**
	 * The watchers of the whole fleet, whatever its size.
	 */
	static final int WATCHERS = 3;

	private static final String ROLE = "contract-watch";

	private static final int SCAN_TICKS = 2;

	private static final int SMALL_TABLE = 256;

	private static final int HEX = 16;

	private static final int MAX_BACKOFF_TICKS = 16;

	private static final int PATIENCE_TICKS = 4;

	private final ContractStore store;

	private final Scheduler scheduler;

	private final Random random;

	private final IntSupplier size;

	private final Consumer<List<Contract>> out;

	private final Runnable complete;

	private final Disposable.Swap watch = Disposables.swap();

	private boolean watching;

	private boolean reading;

	private int waitTicks;

	private int backoff = 1;

	private int ticks;

	private int cursor;

	StoreWatcher(ContractStore store, Scheduler scheduler, Random random, IntSupplier size,
			Consumer<List<Contract>> out, Runnable complete) {
		this.store = store;
		this.scheduler = scheduler;
		this.random = random;
		this.size = size;
		this.out = out;
		this.complete = complete;
	}

	/**
	 * Lets a second pass.
	 * @param v the present view
	 * @param ready whether this VM has all contracts
	 */
	void tick(View v, boolean ready) {
		this.ticks++;
		boolean chosen = v.owners(ROLE, WATCHERS).stream().map(Member::id).anyMatch(v.self().id()::equals);
		if (!chosen && this.watching) {
			stop();
		}
		if (this.waitTicks > 0) {
			this.waitTicks--;
			return;
		}
		if (chosen && !this.watching) {
			startWatch();
		}
		// When the whole fleet starts at once, the watchers read the store first and the
		// others take the contracts from them.
		boolean impatient = !ready && (v.live().size() <= 1 || this.ticks > PATIENCE_TICKS);
		if (impatient || (chosen && !ready)) {
			read("");
		}
		else if (chosen && this.ticks % SCAN_TICKS == 0) {
			read(nextDigits());
		}
	}

	void stop() {
		this.watching = false;
		this.watch.update(Disposables.disposed());
	}

	private void startWatch() {
		this.watching = true;
		this.watch.update(this.store.watch().publishOn(this.scheduler).subscribe((l) -> {
			this.backoff = 1;
			this.out.accept(l);
		}, this::failed, () -> failed(null)));
	}

	private void read(String digits) {
		if (this.reading) {
			return;
		}
		this.reading = true;
		Mono<List<Contract>> l = this.store.list(digits).publishOn(this.scheduler);
		l.subscribe((contracts) -> {
			this.reading = false;
			this.backoff = 1;
			this.out.accept(contracts);
			if (digits.isEmpty()) {
				this.complete.run();
			}
		}, (ex) -> {
			this.reading = false;
			failed(ex);
		});
	}

	private void failed(@Nullable Throwable ex) {
		Logger.debug("[contract] The store is lost: {}.", (ex != null) ? ex.getMessage() : "watch ended");
		this.watching = false;
		// After an outage all watchers come back at once. The chance part spreads them.
		this.waitTicks = this.backoff / 2 + this.random.nextInt(this.backoff + 1);
		this.backoff = Math.min(MAX_BACKOFF_TICKS, this.backoff * 2);
	}

	private String nextDigits() {
		int n = this.size.getAsInt();
		if (n <= SMALL_TABLE) {
			return "";
		}
		int digits = (n <= SMALL_TABLE * HEX) ? 1 : 2;
		this.cursor++;
		return (digits == 1) ? String.format("%x", this.cursor % HEX)
				: String.format("%02x", this.cursor % (HEX * HEX));
	}

}
