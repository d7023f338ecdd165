package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link EngineTimeEstimator}: what is known when, and on how many requests it rests.
 */
class EngineTimeEstimatorTests {

	private final EngineTimeEstimator times = new EngineTimeEstimator();

	@Test
	void hasNoStatisticsBeforeFirstRequest() {
		Assertions.assertThat(this.times.statistics()).isEmpty();
		Assertions.assertThat(this.times.generationMs(5_000)).isZero();
		Assertions.assertThat(this.times.timeToFirstEventMs()).isZero();
		Assertions.assertThat(this.times.prefillTimeoutMs()).isZero();
	}

	// Requests have come and none has shown a pace yet: their lengths alone say nothing
	// of what a worker bears.
	@Test
	void sharesNothingBeforePaceIsKnown() {
		this.times.recordRequest(new PromptInfo(3_000, 1_000, 500));
		Assertions.assertThat(this.times.unsharedStatistics()).isEmpty();
	}

	@Test
	void mergesLocalAndSharedStatistics() {
		this.times.setSharedStatistics(new EngineStatistics(4, 1_000, 100, 1_200, 0.03, 0.03, 7, OutputLengthModel.PRIOR));
		EngineTimeSamples.recordRequests(this.times, 4, 3_000, 500, 90, 7);
		EngineStatistics f = this.times.statistics().orElseThrow();
		Assertions.assertThat(f.samples()).isEqualTo(8);
		Assertions.assertThat(f.promptTokens()).isEqualTo(2_000);
		this.times.markShared(this.times.unsharedStatistics().orElseThrow());
		Assertions.assertThat(this.times.unsharedStatistics()).isEmpty();
	}

	// The first answers to end are the short ones. Taken for all, they would tell of too
	// quick a pace, and long answers would be let in that cannot end in time.
	@Test
	void usesEventPaceUntilEnoughResponsesCompleted() {
		PromptInfo p = new PromptInfo(3_000, 2_000, 1_000);
		EngineTimeSamples.recordRequests(this.times, 4, 3_000, 1_000, 90, 7);
		this.times.recordResponse(700, p, 100);
		Assertions.assertThat(this.times.generationMs(1_000)).isEqualTo(7_000);
		for (int i = 0; i < 10; i++) {
			this.times.recordResponse(5_000, p, 700);
		}
		Assertions.assertThat(this.times.generationMs(1_000)).isBetween(4_500L, 5_000L);
	}

	// A prefill worker has gone dark. Each prefill that was given up lengthens the next
	// one's time, so that a queue in a burst is not taken for a loss again and again.
	@Test
	void increasesTimeoutAfterPrefillTimeout() {
		this.times.recordPrefill(100, new PromptInfo(3_000, 1_000, 500));
		long before = this.times.prefillTimeoutMs();
		this.times.recordPrefillTimeout(400);
		Assertions.assertThat(this.times.prefillTimeoutMs()).isGreaterThan(before);
	}

}
