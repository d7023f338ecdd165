package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.assertj.core.api.Assertions;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.shallotspur.gateway.GatewayFixture.Call;
import io.shallotspur.queueing.CallerPatience;
import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.RouteTarget;

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

	// Guards against a refusal of requests that their callers still wait for, and against
	// requests that wait after their callers have left.
	@Test
	void requestsWaitWhileTheirCallersDo() {
		Call urgent = urgent();
		Call other = other();
		refuseFor(CallerPatience.maxWaitMs(PriorityFleet.URGENT_TARGET_MS, PriorityFleet.MAX_GAP_MS) - 10);
		Assertions.assertThat(urgent.caller().responseCount).isZero();
		refuseFor(20);
		Assertions.assertThat(urgent.caller().status).isEqualTo(503);
		Assertions.assertThat(other.caller().responseCount).isZero();
		refuseFor(CallerPatience.maxWaitMs(PriorityFleet.OTHER_TARGET_MS, PriorityFleet.MAX_GAP_MS));
		Assertions.assertThat(other.caller().status).isEqualTo(503);
	}

	// Guards against a customer's own priority that makes its urgent requests and its
	// others alike.
	@Test
	void priorityOfRouteDecidesWhereCustomersHaveTheirOwn() {
		Route urgent = route("urgent", 0);
		Route other = route("other", 2);
		Customer first = new Customer("first", Set.of(), 1, Quota.UNLIMITED);
		Customer second = new Customer("second", Set.of(), 2, Quota.UNLIMITED);
		Assertions
			.assertThat(List.of(rank(urgent, first), rank(other, first), rank(urgent, second), rank(other, second)))
			.isSorted()
			.doesNotHaveDuplicates();
		Assertions.assertThat(rank(other, null)).isEqualTo(rank(other, second));
	}

	private static int rank(Route route, @Nullable Customer customer) {
		RelayRequest r = new RelayRequest("r", "POST", "/", "shop.example", List.of(), new byte[0], 1_000, null,
				List.of(), null, null, null);
		return new AdmittedRequest(r, PriorityFleet.table(), route, customer, 0, null).rank();
	}

	private static Route route(String name, int priority) {
		return new Route(name, "shop.example", "/" + name + "/", RouteKind.STREAM, List.of(new RouteTarget("llm", 1)),
				10_000, 1_000, 0, priority, 1, false, true, false);
	}

	// A burst asks for far more than the workers can do. Those whose turn will not come
	// waited until they were refused, and returned to the same queue.
	@ParameterizedTest
	@ValueSource(strings = { "urgent", "other" })
	void refusesAtArrivalWhatCannotBeServedInTime(String first) {
		this.fixture.callWithPrompt(first, URGENT_TOKENS);
		List<Call> calls = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			refuseFor(25);
			calls.add(other());
		}
		List<Call> refused = calls.stream().filter((c) -> c.caller().status == 503).toList();
		// The first four of a queue always wait: the urgent request and three others.
		Assertions.assertThat(refused).hasSize(first.equals("urgent") ? 37 : 0);
		Assertions.assertThat(refused)
			.allSatisfy((c) -> Assertions.assertThat(c.caller().refusal.retryAfterMs()).isBetween(500L, 5_000L));
	}

	// Callers are spread over many VMs, each of which orders its own requests only, and
	// ask for half as much again as the workers can do. The VM that asks first would get
	// a
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
