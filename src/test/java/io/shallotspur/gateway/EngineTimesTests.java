package io.shallotspur.gateway;

import java.util.Random;

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

	// Long answers fill the decode workers in a burst. What is set aside for the few that
	// turn out much longer is memory that callers wait for; what is missing makes a
	// worker drop an answer, and prompts that are as long leave it some.
	@Test
	void reservationsCoverFiveAnswersInSix() {
		Random r = new Random(5);
		EngineTimes t = new EngineTimes();
		int longer = 0;
		for (int i = 0; i < 2_000; i++) {
			int expected = (int) (4_000 * Math.exp(0.5 * r.nextGaussian()));
			int actual = (int) (expected * Math.exp(0.4 * r.nextGaussian()));
			PromptShape p = new PromptShape(5_000, 100_000, expected);
			longer += (i >= 1_000 && 5_000 + actual > t.reservedTokens(p, 0)) ? 1 : 0;
			t.streamed(1_000, p, actual);
		}
		Assertions.assertThat(longer).isBetween(120, 220);
	}

}
