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
		for (int i = 0; i < samples; i++) {
			this.now += OverloadDetector.SAMPLE_INTERVAL_MS;
			this.detector.recordDelay(ms, this.now);
		}
	}

	// The load exceeds the processor's capacity: each step of each request runs late.
	@Test
	void isOverloadedWhileTasksRunLate() {
		recordDelays(12, 40);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.SATURATED);
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
		recordDelays(20, 15);
		recordDelays(40, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.OVERLOADED);
		recordDelays(40, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
	}

	// The demand approaches what the processor bears. Requests pass the loop ten times
	// and lose a third of their time.
	@Test
	void isOverloadedBeforeRequestsLoseMostOfTheirTime() {
		recordDelays(20, 15);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.OVERLOADED);
	}

	// A VM that carries its load without much delay needs no others beside it.
	@Test
	void isNotOverloadedByAShortDelay() {
		recordDelays(400, 8);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
	}

	// The callers have moved to four times as many VMs. If they all returned at once, the
	// VM would be saturated again.
	@Test
	void recoversOneLevelAtATime() {
		recordDelays(20, 60);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.SATURATED);
		recordDelays(70, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.OVERLOADED);
		recordDelays(40, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
	}

	// The load has not fallen, other VMs carry it. Each return to this VM overloads it
	// again, and each change is a write to the store.
	@Test
	void recoversLaterEachTimeThatTheOverloadReturns() {
		recordDelays(20, 15);
		recordDelays(60, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
		recordDelays(20, 15);
		recordDelays(60, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.OVERLOADED);
		recordDelays(40, 0);
		Assertions.assertThat(this.detector.level()).isEqualTo(LoadLevel.NORMAL);
	}

}
