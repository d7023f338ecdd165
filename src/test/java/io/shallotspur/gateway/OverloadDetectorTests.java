package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link OverloadDetector}.
 */
class OverloadDetectorTests {

	private final OverloadDetector load = new OverloadDetector();

	private long now;

	private void late(int samples, long ms) {
		for (int i = 0; i < samples; i++) {
			this.now += OverloadDetector.SAMPLE_INTERVAL_MS;
			this.load.recordDelay(ms, this.now);
		}
	}

	// More callers than the processor bears: each step of each request runs late.
	@Test
	void isCrowdedWhileTasksRunLate() {
		late(12, 40);
		Assertions.assertThat(this.load.overloaded()).isTrue();
	}

	// A collection of garbage, or classes that are loaded, stop everything once. Said to
	// all VMs, it would send callers elsewhere when it is long over.
	@Test
	void isNotCrowdedByOnePause() {
		late(1, 120);
		late(5, 0);
		Assertions.assertThat(this.load.overloaded()).isFalse();
	}

	// Other VMs have taken half of the callers. Said to have room at once, this one would
	// get them all back and be crowded again.
	@Test
	void hasRoomOnlyAfterAWhile() {
		late(20, 40);
		late(40, 0);
		Assertions.assertThat(this.load.overloaded()).isTrue();
		late(40, 0);
		Assertions.assertThat(this.load.overloaded()).isFalse();
	}

}
