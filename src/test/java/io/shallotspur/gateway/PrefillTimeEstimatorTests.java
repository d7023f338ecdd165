package io.shallotspur.gateway;

import java.util.Random;

import org.assertj.core.api.Assertions;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link PrefillTimeEstimator}: prompts of all lengths, some of which wait in a queue.
 */
class PrefillTimeEstimatorTests {

	private final PrefillTimeEstimator estimator = new PrefillTimeEstimator();

	private void addSamples(int n, double queuedFraction) {
		Random random = new Random(5);
		for (int i = 0; i < n; i++) {
			int tokens = 500 + random.nextInt(8_000);
			long queueMs = (random.nextDouble() < queuedFraction) ? 50 + random.nextInt(400) : 0;
			this.estimator.add(60 + Math.round(0.03 * tokens) + queueMs, tokens);
		}
	}

	// A prefill takes 60 ms besides. Counted as time of the tokens, a decode worker would
	// be thought to hold its answers up for twice as long as it does.
	@Test
	void separatesTokenTimeFromFixedOverhead() {
		addSamples(40, 0);
		Assertions.assertThat(this.estimator.marginalTokenMs()).isCloseTo(0.03, Percentage.withPercentage(3));
	}

	@Test
	void toleratesQueuedPrefills() {
		addSamples(64, 0.3);
		Assertions.assertThat(this.estimator.marginalTokenMs()).isCloseTo(0.03, Percentage.withPercentage(40));
	}

	@Test
	void hasNoSlopeWithFewSamples() {
		addSamples(5, 0);
		Assertions.assertThat(this.estimator.marginalTokenMs()).isZero();
		Assertions.assertThat(this.estimator.estimateMs(3_000)).isPositive();
	}

	// In a burst half of the prompts wait in the queue of their prefill worker. If that
	// were taken for work, prefill workers would be thought too few, and none of them
	// would go over to decode workers that callers wait for.
	@Test
	void excludesQueueTimeFromEstimate() {
		addSamples(64, 0.5);
		Assertions.assertThat(this.estimator.estimateMs(3_000)).isCloseTo(150, Percentage.withPercentage(15));
	}

	@Test
	void hasNoSlopeWhenAllPromptsHaveSameLength() {
		for (int i = 0; i < 20; i++) {
			this.estimator.add(100, 3_000);
		}
		Assertions.assertThat(this.estimator.marginalTokenMs()).isZero();
	}

}
