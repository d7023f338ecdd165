package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests of the limits that workers name: over several VMs, and at one.
 */
class LimitTests {

	// What the platform tolerates in a window, as a part of the limit and beside it.
	private static final double TOLERATED = 1.5;

	private static final int BESIDE = 5;

	private static double most(double perSecond) {
		return TOLERATED * perSecond * LimitedFleet.WINDOW_S + BESIDE;
	}

	// Guards against a worker in need that is given more than the limit that it named.
	@Test
	@Tag("known-red")
	void aWorkerThatNamesALimitGetsNoMoreFromAllVmsTogether() {
		LimitedFleet f = new LimitedFleet(8, 3, 1);
		f.run(8_000, 43, 0.05);
		f.names("p1", new WorkerLimit(4.9));
		f.run(20_000, 43, 0.05);
		Assertions.assertThat(f.mostInWindow("p1")).isLessThanOrEqualTo((long) most(4.9));
	}

}
