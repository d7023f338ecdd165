package io.shallotspur.serving;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link OverloadDetector}.
 */
class OverloadDetectorTests {

	private final OverloadDetector detector = new OverloadDetector();

	private long now;

	private void recordDelays(int samples, long ms) {
		record(samples, ms, 0);
	}

	private void record(int samples, long ms, double use) {
		for (int i = 0; i < samples; i++) {
			this.now += OverloadDetector.SAMPLE_INTERVAL_MS;
			this.detector.record(ms, use, this.now);
		}
	}

	// The load exceeds the processor's capacity: each step of each request runs late.
	@Test
	void isOverloadedWhileTasksRunLate() {
		recordDelays(12, 40);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.OVERLOADED);
	}

	// A garbage collection pause or class loading stops everything once. Announced to
	// all VMs, it would redirect callers long after it ended.
	@Test
	void isNotOverloadedAfterOnePause() {
		recordDelays(1, 120);
		recordDelays(5, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
	}

	// Other VMs have taken half of the callers. If this VM reported recovery at once,
	// they would all return and overload it again.
	@Test
	void recoversOnlyAfterTheRecoveryPeriod() {
		recordDelays(20, 40);
		recordDelays(40, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.OVERLOADED);
		recordDelays(40, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
	}

	// The demand rises towards what the processor bears. Requests pass the loop ten times
	// and are late already, while the delay of a single task is still short.
	@Test
	void isOverloadedBeforeTheDelayIsLongIfTheProcessorIsBusy() {
		record(20, 8, 0.85);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.OVERLOADED);
	}

	// A busy VM without delay carries its load. Further VMs would only cost.
	@Test
	void useWithoutDelayIsNoOverload() {
		record(40, 2, 0.95);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
	}

	// The callers have moved to four times as many VMs. If they all returned at once, the
	// VM would be saturated again.
	@Test
	void recoversOneLevelAtATime() {
		record(20, 60, 1);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.SATURATED);
		record(70, 0, 0.2);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.OVERLOADED);
		record(40, 0, 0.2);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
	}

}
