package io.shallotspur.distribution;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.test.StepVerifier;

import io.shallotspur.contract.Contract;
import io.shallotspur.exc.ContractConflictException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.exc.StoreUnknownException;
import io.shallotspur.testing.Contracts;
import io.shallotspur.testing.FakeKvStore;
import io.shallotspur.testing.FakeKvStore.Fault;

import static org.assertj.core.api.Assertions.assertThat;

class ContractStoreTests {

	private final FakeKvStore kv = new FakeKvStore();

	private final ContractStore store = new ContractStore(this.kv, (ms) -> Mono.delay(Duration.ofMillis(ms)));

	@Test
	void createsChangesAndRetires() {
		assertThat(apply("c1", 0.5, ContractChange.ABSENT)).isEqualTo(1);
		assertThat(apply("c2", 0.6, 1)).isEqualTo(2);
		ContractChange retire = new ContractChange("c3", Contracts.contract("lonestar", 0.6).toTombstone(), 2);
		assertThat(this.store.apply(retire).block().retired()).isTrue();
		assertThat(apply("c4", 0.4, ContractChange.ABSENT)).isEqualTo(4);
		StepVerifier.create(this.store.list("").map((l) -> l.stream().map(Contract::revision).toList()))
			.expectNext(List.of(4L))
			.verifyComplete();
	}

	/**
	 * Two operators change one contract at once. The second one to arrive must learn that
	 * the terms are not those it saw, and which revision is current.
	 */
	@Test
	void theSecondOfTwoOperatorsIsTold() {
		apply("c1", 0.5, ContractChange.ABSENT);
		apply("c2", 0.6, 1);
		StepVerifier.create(this.store.apply(Contracts.change("c3", "lonestar", 0.7, 1)))
			.verifyErrorSatisfies((ex) -> assertThat(ex).isInstanceOfSatisfying(ContractConflictException.class,
					(c) -> assertThat(c.getCurrentRevision()).isEqualTo(2)));
		StepVerifier.create(this.store.apply(Contracts.change("c4", "lonestar", 0.7, ContractChange.ABSENT)))
			.verifyError(ContractConflictException.class);
		assertThat(this.store.list("").block().get(0).share()).isEqualTo(0.6);
	}

	/**
	 * The store takes the write and its answer is lost. An operator who is told that it
	 * failed makes the change again, on top of itself; one who is told that it was
	 * accepted when it was not believes terms that are not in force.
	 */
	@Test
	void aLostAnswerIsSettled() {
		this.kv.failNextWrites(Fault.LOST_AFTER_EFFECT);
		assertThat(apply("c1", 0.5, ContractChange.ABSENT)).isEqualTo(1);
		this.kv.failNextWrites(Fault.LOST_BEFORE_EFFECT, Fault.LOST_AFTER_EFFECT);
		assertThat(apply("c2", 0.6, 1)).isEqualTo(2);
		assertThat(this.store.apply(Contracts.change("c2", "lonestar", 0.6, 1)).block().revision()).isEqualTo(2);
		assertThat(this.kv.peek(ContractStore.key("lonestar")).version()).isEqualTo(2);
	}

	/**
	 * The answer is lost and then the store goes away. Nobody can know whether the change
	 * took effect, and the operator must be told just that. With a plain refusal it is
	 * certain that nothing changed.
	 */
	@Test
	void whatCannotBeSettledIsUnknown() {
		this.kv.failNextWrites(Fault.LOST_AFTER_EFFECT);
		Mono<Contract> c = this.store.apply(Contracts.change("c1", "lonestar", 0.5, ContractChange.ABSENT))
			.doOnSubscribe((s) -> this.kv.holdAnswers());
		StepVerifier.create(c).then(() -> {
			this.kv.releaseAnswers();
			this.kv.setDown(true);
		}).verifyError(StoreUnknownException.class);
		StepVerifier.create(this.store.apply(Contracts.change("c2", "lonestar", 0.5, ContractChange.ABSENT)))
			.verifyError(StoreUnavailableException.class);
		this.kv.setDown(false);
		assertThat(apply("c1", 0.5, ContractChange.ABSENT)).isEqualTo(1);
	}

	private long apply(String id, double share, long expected) {
		return this.store.apply(Contracts.change(id, "lonestar", share, expected)).block().revision();
	}

}
