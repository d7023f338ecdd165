package io.shallotspur.testing;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import reactor.test.StepVerifier;

import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.exc.StoreUnknownException;
import io.shallotspur.testing.FakeKvStore.Fault;

import static org.assertj.core.api.Assertions.assertThat;

class FakeKvStoreTests {

	private final FakeKvStore store = new FakeKvStore();

	@Test
	void lostAnswersTellNothingOfTheEffect() {
		this.store.failNextWrites(Fault.REFUSED, Fault.LOST_BEFORE_EFFECT, Fault.LOST_AFTER_EFFECT);
		StepVerifier.create(this.store.compareAndSwap("k", 0, bytes("a"))).verifyError(StoreUnavailableException.class);
		StepVerifier.create(this.store.compareAndSwap("k", 0, bytes("b"))).verifyError(StoreUnknownException.class);
		assertThat(this.store.peek("k")).isNull();
		StepVerifier.create(this.store.compareAndSwap("k", 0, bytes("c"))).verifyError(StoreUnknownException.class);
		StepVerifier.create(this.store.compareAndSwap("k", 0, bytes("d"))).verifyError(StoreConflictException.class);
		StepVerifier.create(this.store.get("k"))
			.assertNext((r) -> assertThat(r.value()).isEqualTo(bytes("c")))
			.verifyComplete();
		assertThat(this.store.writes()).isEqualTo(4);
	}

	@Test
	void anOutageEndsWatchesAndFencesRise() {
		StepVerifier.create(this.store.watch("a/"))
			.then(() -> this.store.put("a/1", bytes("x")))
			.expectNextCount(1)
			.then(() -> this.store.setDown(true))
			.verifyError(StoreUnavailableException.class);
		this.store.setDown(false);
		assertThat(this.store.lease("l", "n1", 100).block().fencingToken()).isEqualTo(1);
		assertThat(this.store.lease("l", "n2", 100).block().holder()).isEqualTo("n1");
		this.store.setNow(100);
		assertThat(this.store.lease("l", "n2", 100).block().fencingToken()).isEqualTo(2);
	}

	private static byte[] bytes(String s) {
		return s.getBytes(StandardCharsets.UTF_8);
	}

}
