package io.shallotspur.gateway;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.quarantine.Suspect;
import io.shallotspur.route.Quota;

/**
 * Tests of the ways on which a request with a part that crashes workers may reach one,
 * and of what this VM takes for evidence.
 */
class CrashingPartGatewayTests {

	private static final long CHECK_MS = 150;

	private static final long SETTLING_MS = 1_000;

	private static final int CRASHES = 3;

	private static final String BAD = "bad0";

	private static final String FIRST = "5c1e";

	private final GatewayFixture f = new GatewayFixture();

	private int workers;

	private int prefilled;

	@BeforeEach
	void configure() {
		this.f.configured();
		this.f.addWorker("d0", "llm", WorkerStage.DECODE);
	}

	// The latest request gets a place, and its prompt is read by a prefill worker if
	// there
	// is one.
	private void acceptReservation() {
		this.f.workers.reservations.get(this.f.workers.reservations.size() - 1).listener().onReserved("h");
		List<FakeWorkers.Prefill> prefills = this.f.workers.prefills;
		while (this.prefilled < prefills.size()) {
			prefills.get(this.prefilled++).listener.onReady("kv");
		}
	}

	private FakeCaller answer(String... parts) {
		FakeCaller caller = this.f.callWithParts("once", parts).caller();
		acceptReservation();
		this.f.workers.lastRun().respond(200, GatewayFixture.EVENTS);
		Assertions.assertThat(caller.status).isEqualTo(200);
		return caller;
	}

	private void crashLastRun() {
		FakeWorkers.Run r = this.f.workers.lastRun();
		this.f.workers.ended.add(r.call.worker().id());
		r.resetConnection();
		this.f.timer.advance(CHECK_MS);
		this.f.gateway.roster().entryRemoved(r.call.worker().id(), this.f.timer.now());
		this.f.addWorker("x" + this.workers++, "llm", WorkerStage.DECODE);
	}

	private void crashWorkers() {
		answer(FIRST);
		for (int i = 0; i < CRASHES; i++) {
			this.f.callWithParts("once", FIRST, BAD);
			acceptReservation();
			crashLastRun();
		}
		answer(FIRST);
		this.f.timer.advance(SETTLING_MS);
	}

	private void assertRefused(FakeCaller caller) {
		Assertions.assertThat(caller.status).isEqualTo(503);
		Assertions.assertThat(caller.refusal.reason()).isEqualTo(RefusalReason.CRASHES_WORKERS);
		Assertions.assertThat(caller.refusal.retryAfterMs()).isPositive();
	}

	@Test
	void refusesANewRequestAtOnce() {
		crashWorkers();
		int reservations = this.f.workers.reservations.size();
		assertRefused(this.f.callWithParts("once", FIRST, BAD).caller());
		Assertions.assertThat(this.f.workers.reservations).hasSize(reservations);
		answer(FIRST);
	}

	// Guards against a request that waited for a place while the part was found.
	@Test
	void refusesARequestThatWaits() {
		answer(FIRST);
		FakeCaller waiting = this.f.callWithParts("once", FIRST, BAD).caller();
		int reservation = this.f.workers.reservations.size() - 1;
		crashWorkers();
		int runs = this.f.workers.runs.size();
		this.f.workers.reservations.get(reservation).listener().onReserved("h1");
		assertRefused(waiting);
		Assertions.assertThat(this.f.workers.runs).hasSize(runs);
	}

	// Guards against a prompt that is prefilled before it is refused.
	@Test
	void prefillsNoPromptWithThePart() {
		crashWorkers();
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		assertRefused(this.f.callWithParts("once", FIRST, BAD).caller());
		Assertions.assertThat(this.f.workers.prefills).isEmpty();
	}

	// Guards against a caller that takes up a stream with the part.
	@Test
	void refusesARequestThatResumesAStream() {
		crashWorkers();
		assertRefused(this.f.callResumingWithParts("resume", "1", FIRST, BAD).caller());
	}

	// Guards against a retry of a request that was running when the part was found.
	@Test
	void doesNotRetryARequestWithThePart() {
		answer(FIRST);
		FakeCaller caller = this.f.callWithParts("resume", FIRST, BAD).caller();
		acceptReservation();
		FakeWorkers.Run running = this.f.workers.lastRun();
		crashWorkers();
		int reservations = this.f.workers.reservations.size();
		running.resetConnection();
		Assertions.assertThat(caller.status).isEqualTo(502);
		Assertions.assertThat(this.f.workers.reservations).hasSize(reservations);
	}

	// Guards against taking a part for sound that is read without harm, and crashes each
	// worker that begins to write the answer.
	@Test
	void aPrefillIsNoEvidenceForAPart() {
		this.f.addWorker("f1", "llm", WorkerStage.PREFILL);
		answer(FIRST);
		for (int i = 0; i < CRASHES; i++) {
			this.f.callWithParts("once", FIRST, BAD);
			acceptReservation();
			crashLastRun();
		}
		Assertions.assertThat(this.f.workers.prefills).hasSize(1 + CRASHES);
		answer(FIRST);
		this.f.timer.advance(SETTLING_MS);
		assertRefused(this.f.callWithParts("once", FIRST, BAD).caller());
	}

	// Guards against crashes that count for a part whose prompts are answered.
	@Test
	void anAnswerClearsThePart() {
		answer(FIRST);
		for (int i = 0; i < 2 * CRASHES; i++) {
			this.f.callWithParts("once", FIRST, "d0c1");
			acceptReservation();
			crashLastRun();
			answer(FIRST, "d0c1");
		}
		this.f.timer.advance(SETTLING_MS);
		answer(FIRST, "d0c1");
		Assertions.assertThat(this.f.gateway.quarantine().suspects(this.f.timer.now()))
			.filteredOn(Suspect::isPart)
			.noneMatch((s) -> s.entry().suspect());
	}

	// Guards against refusing one customer what another one sends.
	@Test
	void refusesOnlyCustomersWhoseRequestsWereThere() {
		this.f.gateway.configure(GatewayFixture.table(2, GatewayFixture.customer("acme", Quota.UNLIMITED, "k1"),
				GatewayFixture.customer("bolt", Quota.UNLIMITED, "k2")));
		this.f.callWithKeyAndParts("once", "k1", FIRST);
		acceptReservation();
		this.f.workers.lastRun().respond(200, GatewayFixture.EVENTS);
		for (int i = 0; i < CRASHES + 2; i++) {
			this.f.callWithKeyAndParts("once", "k1", FIRST, BAD);
			acceptReservation();
			crashLastRun();
		}
		this.f.timer.advance(SETTLING_MS);
		assertRefused(this.f.callWithKeyAndParts("once", "k1", FIRST, BAD).caller());
		FakeCaller other = this.f.callWithKeyAndParts("once", "k2", FIRST, BAD).caller();
		acceptReservation();
		Assertions.assertThat(other.status).isZero();
	}

}
