package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests all sequences of events that affect a worker's rate limit, with two serving VMs
 * and one standby VM.
 */
class WorkerRateLimitModelTests {

	private static final int SEQUENCE_LENGTH = 4;

	private static final long STEP_MS = 1_500;

	private static final double BURST_PER_S = 60;

	private static final List<Step> STEPS = List.of(
			new Step("limit of one per second", (f) -> f.setLimit("p1", new WorkerRateLimit(1))),
			new Step("limit of four per second", (f) -> f.setLimit("p1", new WorkerRateLimit(4))),
			new Step("limit of zero", (f) -> f.setLimit("p1", new WorkerRateLimit(0))),
			new Step("no limit", (f) -> f.setLimit("p1", WorkerRateLimit.UNLIMITED)),
			new Step("no traffic", (f) -> f.run(STEP_MS, 0, 0)),
			new Step("traffic at serving VMs mostly", (f) -> f.run(STEP_MS, BURST_PER_S, 0.3)),
			new Step("traffic at any VM", (f) -> f.run(STEP_MS, BURST_PER_S, 1)));

	// Guards against a sequence of events in which a worker receives more than its limit.
	@Test
	void noEventSequenceExceedsTheLimit() {
		int sequences = 0;
		for (int n = 0; n < Math.pow(STEPS.size(), SEQUENCE_LENGTH); n++) {
			List<Step> sequence = steps(n);
			RateLimitedFleet fleet = new RateLimitedFleet(3, 1, n);
			fleet.run(200, BURST_PER_S, 0);
			sequence.forEach((s) -> s.action().accept(fleet));
			fleet.run(2 * STEP_MS, BURST_PER_S, 0.3);
			Assertions.assertThat(fleet.violations()).as("%s", sequence.stream().map(Step::name).toList()).isEmpty();
			sequences++;
		}
		Assertions.assertThat(sequences).isEqualTo(2_401);
	}

	// Guards against a limit that was lifted and still causes refusals.
	@Test
	void allRequestsAreServedAfterTheLimitIsLifted() {
		for (double perSecond : new double[] { 0, 0.5, 3 }) {
			RateLimitedFleet fleet = new RateLimitedFleet(3, 1, 1);
			fleet.setLimit("p1", new WorkerRateLimit(perSecond));
			fleet.run(5_000, 30, 0);
			fleet.setLimit("p1", WorkerRateLimit.UNLIMITED);
			fleet.run(10_000, 30, 0);
			long since = fleet.now();
			fleet.run(5_000, 30, 0);
			Assertions.assertThat(fleet.servedShare(since)).isEqualTo(1);
		}
	}

	private static List<Step> steps(int number) {
		List<Step> l = new ArrayList<>();
		for (int i = 0, n = number; i < SEQUENCE_LENGTH; i++, n /= STEPS.size()) {
			l.add(STEPS.get(n % STEPS.size()));
		}
		return l;
	}

	private record Step(String name, Consumer<RateLimitedFleet> action) {

	}

}
