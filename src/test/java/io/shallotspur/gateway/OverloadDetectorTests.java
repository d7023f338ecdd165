package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link OverloadDetector}.
 */
class OverloadDetectorTests {

	private final OverloadDetector detector = new OverloadDetector();

	private long now;

	private void recordDelays(int samples, long ms) {
		for (int i = 0; i < samples; i++) {
			this.now += OverloadDetector.SAMPLE_INTERVAL_MS;
			this.detector.recordDelay(ms, this.now);
		}
	}

	// The load exceeds the processor's capacity: each step of each request runs late.
	@Test
	void isOverloadedWhileTasksRunLate() {
		recordDelays(12, 40);
		Assertions.assertThat(this.detector.overloaded()).isTrue();
	}

	// A garbage collection pause or class loading stops everything once. Announced to
	// all VMs, it would redirect callers long after it ended.
	@Test
	void isNotOverloadedAfterOnePause() {
		recordDelays(1, 120);
		recordDelays(5, 0);
		Assertions.assertThat(this.detector.overloaded()).isFalse();
	}

	// Other VMs have taken half of the callers. If this VM reported recovery at once,
	// they would all return and overload it again.
	@Test
	void recoversOnlyAfterTheRecoveryPeriod() {
		recordDelays(20, 40);
		recordDelays(40, 0);
		Assertions.assertThat(this.detector.overloaded()).isTrue();
		recordDelays(40, 0);
		Assertions.assertThat(this.detector.overloaded()).isFalse();
	}

}
