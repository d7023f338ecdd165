package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Goes through all orders of what can happen to a worker's limit, with two VMs that serve
 * and one that stands by.
 */
class LimitModelTests {

	private static final int LENGTH = 4;

	private static final long STEP_MS = 1_500;

	private static final double BURST_PER_S = 60;

	private static final List<Step> STEPS = List.of(
			new Step("names one a second", (f) -> f.names("p1", new WorkerLimit(1))),
			new Step("names four a second", (f) -> f.names("p1", new WorkerLimit(4))),
			new Step("takes nothing", (f) -> f.names("p1", new WorkerLimit(0))),
			new Step("names none", (f) -> f.names("p1", WorkerLimit.NONE)),
			new Step("nobody calls", (f) -> f.run(STEP_MS, 0, 0)),
			new Step("callers come", (f) -> f.run(STEP_MS, BURST_PER_S, 0.3)),
			new Step("callers use any VM", (f) -> f.run(STEP_MS, BURST_PER_S, 1)));

	// Guards against an order of events in which a worker is given more than it named.
	@Test
	void inNoOrderIsALimitPassed() {
		int played = 0;
		for (int n = 0; n < Math.pow(STEPS.size(), LENGTH); n++) {
			List<Step> l = steps(n);
			LimitedFleet f = new LimitedFleet(3, 1, n);
			f.run(200, BURST_PER_S, 0);
			l.forEach((s) -> s.does().accept(f));
			f.run(2 * STEP_MS, BURST_PER_S, 0.3);
			Assertions.assertThat(f.broken()).as("%s", l.stream().map(Step::name).toList()).isEmpty();
			played++;
		}
		Assertions.assertThat(played).isEqualTo(2_401);
	}

	// Guards against a limit that has ended and still keeps callers away.
	@Test
	void whenALimitHasEndedAllAreServed() {
		for (double perSecond : new double[] { 0, 0.5, 3 }) {
			LimitedFleet f = new LimitedFleet(3, 1, 1);
			f.names("p1", new WorkerLimit(perSecond));
			f.run(5_000, 30, 0);
			f.names("p1", WorkerLimit.NONE);
			f.run(10_000, 30, 0);
			long since = f.now();
			f.run(5_000, 30, 0);
			Assertions.assertThat(f.servedShare(since)).isEqualTo(1);
		}
	}

	private static List<Step> steps(int number) {
		List<Step> l = new ArrayList<>();
		for (int i = 0, n = number; i < LENGTH; i++, n /= STEPS.size()) {
			l.add(STEPS.get(n % STEPS.size()));
		}
		return l;
	}

	private record Step(String name, Consumer<LimitedFleet> does) {

	}

}
