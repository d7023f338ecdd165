package io.shallotspur.adapter.store;

import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.test.StepVerifier;

import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.testing.FakeKvStore;

import static org.assertj.core.api.Assertions.assertThat;

class BudgetedKvStoreTests {

	private final FakeKvStore store = new FakeKvStore();

	private long now = 1000;

	/**
	 * The store comes back after an hour and every VM reads all it missed at once. The
	 * store would refuse most of it, the VMs would ask again, and so on. Each VM keeps to
	 * its part and refuses the rest by itself.
	 */
	@Test
	void callsOverTheRateAreNotSent() {
		BudgetedKvStore b = new BudgetedKvStore(this.store, new StoreBudget(10, 10, 0), () -> this.now);
		for (int i = 0; i < 10; i++) {
			b.get("k").block();
		}
		StepVerifier.create(b.get("k")).verifyError(StoreUnavailableException.class);
		assertThat(this.store.reads()).isEqualTo(10);
		this.now += 500;
		StepVerifier.create(Flux.range(0, 6).concatMap((i) -> b.get("k"))).verifyError(StoreUnavailableException.class);
		assertThat(this.store.reads()).isEqualTo(15);
		this.now += 500;
		assertThat(b.use().readsPerSecond()).isEqualTo(15);
		assertThat(b.use().refused()).isEqualTo(2);
	}

	@Test
	void rateIsSharedOutAndAWatchCounts() {
		BudgetedKvStore b = new BudgetedKvStore(this.store, new StoreBudget(100, 100, 0), () -> this.now);
		b.setMembers(100);
		Disposable d = b.watch("k").subscribe();
		assertThat(b.use().openWatches()).isEqualTo(1);
		StepVerifier.create(Flux.range(0, 8).concatMap((i) -> b.get("k"))).verifyError(StoreUnavailableException.class);
		d.dispose();
		assertThat(b.use().openWatches()).isZero();
		assertThat(this.store.reads()).isEqualTo(7);
	}

}
