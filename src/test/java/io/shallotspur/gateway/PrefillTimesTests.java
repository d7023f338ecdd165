package io.shallotspur.gateway;

import java.util.Random;

import org.assertj.core.api.Assertions;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link PrefillTimes}: prompts of all lengths, some of which wait in a queue.
 */
class PrefillTimesTests {

	private final PrefillTimes times = new PrefillTimes();

	private void seen(int n, double waiting) {
		Random r = new Random(5);
		for (int i = 0; i < n; i++) {
			int tokens = 500 + r.nextInt(8_000);
			long queue = (r.nextDouble() < waiting) ? 50 + r.nextInt(400) : 0;
			this.times.add(60 + Math.round(0.03 * tokens) + queue, tokens);
		}
	}

	// A prefill takes 60 ms besides. Counted as time of the tokens, a decode worker would
	// be thought to hold its answers up for twice as long as it does.
	@Test
	void tellsTheTokensFromWhatAPrefillTakesBesides() {
		seen(40, 0);
		Assertions.assertThat(this.times.addedTokenMs()).isCloseTo(0.03, Percentage.withPercentage(3));
	}

	@Test
	void isHardlyMisledByPrefillsThatWaited() {
		seen(64, 0.3);
		Assertions.assertThat(this.times.addedTokenMs()).isCloseTo(0.03, Percentage.withPercentage(40));
	}

	@Test
	void knowsNoSlopeFromAFew() {
		seen(5, 0);
		Assertions.assertThat(this.times.addedTokenMs()).isZero();
		Assertions.assertThat(this.times.ms(3_000)).isPositive();
	}

	// In a burst half of the prompts wait in the queue of their prefill worker. If that
	// were taken for work, prefill workers would be thought too few, and none of them
	// would go over to decode workers that callers wait for.
	@Test
	void tellsTheWorkFromTheWaitInTheQueue() {
		seen(64, 0.5);
		Assertions.assertThat(this.times.ms(3_000)).isCloseTo(150, Percentage.withPercentage(15));
	}

	@Test
	void knowsNoSlopeWhereAllPromptsAreOfOneLength() {
		for (int i = 0; i < 20; i++) {
			this.times.add(100, 3_000);
		}
		Assertions.assertThat(this.times.addedTokenMs()).isZero();
	}

}
