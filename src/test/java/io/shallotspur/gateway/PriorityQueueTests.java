package io.shallotspur.gateway;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests of waiting for a slot while requests of two priorities compete for the decode
 * workers.
 */
class PriorityQueueTests {

	private static final int URGENT_TOKENS = 6_000;

	private static final int OTHER_TOKENS = 3_000;

	private final GatewayFixture fixture = new GatewayFixture();

	private int answered;

	@BeforeEach
	void configure() {
		this.fixture.gateway.configure(PriorityFleet.table());
		this.fixture.addWorker("d1", "llm", WorkerStage.DECODE);
	}

	private Call urgent() {
		return this.fixture.callWithPrompt("urgent", URGENT_TOKENS);
	}

	private Call other() {
		return this.fixture.callWithPrompt("other", OTHER_TOKENS);
	}

	private void refuseFor(long ms) {
		for (int i = 0; i < ms; i++) {
			refuseAll();
			this.fixture.timer.advance(1);
		}
		refuseAll();
	}

	private void refuseAll() {
		while (this.answered < reservations().size()) {
			reservations().get(this.answered++).listener().onNoCapacity();
		}
	}

	private List<FakeWorkers.Reservation> reservations() {
		return this.fixture.workers.reservations;
	}

	private FakeWorkers.Reservation nextReservation() {
		while (reservations().size() == this.answered) {
			this.fixture.timer.advance(1);
		}
		return reservations().get(this.answered++);
	}

	// All workers are full, and the urgent request is late before a slot is free. Less
	// urgent ones that can be on time took each slot, and it was refused.
	@Test
	void lateUrgentRequestGetsNextSlot() {
		urgent();
		refuseFor(PriorityFleet.URGENT_TARGET_MS + 100);
		other();
		Assertions.assertThat(nextReservation().tokens()).isGreaterThan(URGENT_TOKENS);
	}

	// Slots are claimed by urgent requests faster than they become free. A less urgent
	// request would wait until it is refused.
	@Test
	void lessUrgentRequestIsNotStarved() {
		urgent();
		refuseAll();
		other();
		int starts = 0;
		while (nextReservation().tokens() > URGENT_TOKENS) {
			urgent();
			reservations().get(this.answered - 1).listener().onReserved("h" + starts++);
			Assertions.assertThat(starts).isLessThanOrEqualTo(8);
		}
	}

	// Callers are spread over many VMs, each of which orders its own requests only, and
	// ask for half as much again as the workers can do. Whoever asks first would get a
	// slot, so urgent requests would be late as often as the others.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 8, 95 })
	void urgentRequestsGoFirstAtAllVms(int vms) {
		PriorityFleet fleet = new PriorityFleet(vms, 12, 7);
		fleet.run(20_000, 12, 108);
		double urgent = fleet.timelyShare("urgent", PriorityFleet.URGENT_TARGET_MS);
		double other = fleet.timelyShare("other", PriorityFleet.OTHER_TARGET_MS);
		Assertions.assertThat(urgent).isGreaterThanOrEqualTo(other - 0.05);
	}

}
