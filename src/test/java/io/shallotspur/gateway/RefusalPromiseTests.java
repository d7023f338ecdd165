package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.FakeWorkers.Run;
import io.shallotspur.gateway.GatewayFixture.Call;

/**
 * Tests all orders of what can become of the attempts of a request that must run once at
 * most.
 */
class RefusalPromiseTests {

	private static final int ORDER_LENGTH = 3;

	// Guards against a status that promises that a request has not run after it may have,
	// and against another attempt after such a one.
	@Test
	void aRequestThatMayHaveRunIsNeitherPromisedAsNotRunNorSentAgain() {
		for (List<Step> order : orders(ORDER_LENGTH)) {
			GatewayFixture f = new GatewayFixture().configured().addPlainWorkers(4);
			Call c = f.call("unsafe");
			boolean mayHaveRun = false;
			for (Step s : order) {
				if (c.caller().responseCount > 0 || f.workers.runs.isEmpty()) {
					break;
				}
				mayHaveRun |= s.mayHaveRun;
				int before = f.workers.runs.size();
				s.action.accept(f, f.workers.lastRun());
				if (mayHaveRun) {
					Assertions.assertThat(f.workers.runs).as("%s", order).hasSize(before);
				}
			}
			if (mayHaveRun) {
				Assertions.assertThat(c.caller().responseCount).as("%s", order).isEqualTo(1);
				Assertions.assertThat(RelayRefusal.promisesNotRun(c.caller().status)).as("%s", order).isFalse();
			}
		}
	}

	private static List<List<Step>> orders(int length) {
		List<List<Step>> all = new ArrayList<>(List.of(List.of()));
		for (int i = 0; i < length; i++) {
			List<List<Step>> longer = new ArrayList<>();
			for (List<Step> o : all) {
				for (Step s : Step.values()) {
					List<Step> next = new ArrayList<>(o);
					next.add(s);
					longer.add(next);
				}
			}
			all = longer;
		}
		return all;
	}

	/**
	 * What can become of an attempt.
	 */
	private enum Step {

		NOT_CONNECTED(false, (f, r) -> r.refuseConnection()), REJECTED(false, (f, r) -> r.rejectNotRun()),
		OTHER_INSTANCE(false, (f, r) -> r.rejectReplaced()), RESET(true, (f, r) -> r.resetConnection()),
		RESET_AFTER_HEAD(true, (f, r) -> {
			r.respondHead(200);
			r.resetConnection();
		}), RAN_AND_FAILED(true, (f, r) -> r.respond(500, "x")), RAN_WITH_503(true, (f, r) -> r.respond(503, "x")),
		RAN_WITH_429(true, (f, r) -> r.respond(429, "x")), RAN_WITH_408(true, (f, r) -> r.respond(408, "x")),
		RAN_WITH_421(true, (f, r) -> r.respond(421, "x")), TIMED_OUT(true, (f, r) -> f.timer.advance(2_000));

		private final boolean mayHaveRun;

		private final BiConsumer<GatewayFixture, Run> action;

		Step(boolean mayHaveRun, BiConsumer<GatewayFixture, Run> action) {
			this.mayHaveRun = mayHaveRun;
			this.action = action;
		}

	}

}
