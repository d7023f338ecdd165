package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link EngineTimes}: what is known when, and on how many requests it rests.
 */
class EngineTimesTests {

	private final EngineTimes times = new EngineTimes();

	@Test
	void knowsNothingBeforeTheFirstRequests() {
		Assertions.assertThat(this.times.known()).isEmpty();
		Assertions.assertThat(this.times.answerMs(5_000)).isZero();
		Assertions.assertThat(this.times.leadMs()).isZero();
		Assertions.assertThat(this.times.prefillLimitMs()).isZero();
	}

	// Requests have come and none has shown a pace yet: their lengths alone say nothing
	// of what a worker bears.
	@Test
	void tellsNothingOfRequestsWithoutAPace() {
		this.times.asked(new PromptShape(3_000, 1_000, 500));
		Assertions.assertThat(this.times.unshared()).isEmpty();
	}

	@Test
	void joinsWhatItSawWithWhatTheOthersDid() {
		this.times.heard(new EngineFigures(4, 1_000, 100, 1_200, 0.03, 0.03, 7, LengthModel.BELIEVED));
		TimesSeen.requests(this.times, 4, 3_000, 500, 90, 7);
		EngineFigures f = this.times.known().orElseThrow();
		Assertions.assertThat(f.samples()).isEqualTo(8);
		Assertions.assertThat(f.promptTokens()).isEqualTo(2_000);
		this.times.told(this.times.unshared().orElseThrow());
		Assertions.assertThat(this.times.unshared()).isEmpty();
	}

	// The first answers to end are the short ones. Taken for all, they would tell of too
	// quick a pace, and long answers would be let in that cannot end in time.
	@Test
	void followsTheEventsUntilSomeAnswersHaveEnded() {
		PromptShape p = new PromptShape(3_000, 2_000, 1_000);
		TimesSeen.requests(this.times, 4, 3_000, 1_000, 90, 7);
		this.times.streamed(700, p, 100);
		Assertions.assertThat(this.times.answerMs(1_000)).isEqualTo(7_000);
		for (int i = 0; i < 10; i++) {
			this.times.streamed(5_000, p, 700);
		}
		Assertions.assertThat(this.times.answerMs(1_000)).isBetween(4_500L, 5_000L);
	}

	// A prefill worker has gone dark. Each prefill that was given up lengthens the next
	// one's time, so that a queue in a burst is not taken for a loss again and again.
	@Test
	void givesMoreTimeAfterAPrefillThatWasGivenUp() {
		this.times.prefilled(100, new PromptShape(3_000, 1_000, 500));
		long before = this.times.prefillLimitMs();
		this.times.prefillTimedOut(400);
		Assertions.assertThat(this.times.prefillLimitMs()).isGreaterThan(before);
	}

}
