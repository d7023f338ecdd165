package io.shallotspur.gateway;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.api.Assertions;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link OutputLengthEstimator}, with answers of 20 to 5,000 tokens.
 */
class OutputLengthEstimatorTests {

	private final OutputLengthEstimator lengths = new OutputLengthEstimator();

	// Answers around a median, and estimates that are as often too high as too low.
	private static OutputLengthEstimator estimatorAfter(int median, double spread, double error, int n) {
		OutputLengthEstimator estimator = new OutputLengthEstimator();
		Random random = new Random(3);
		for (int i = 0; i < n; i++) {
			double actual = median * Math.exp(spread * random.nextGaussian());
			estimator.add((int) Math.ceil(actual * Math.exp(error * random.nextGaussian())), (int) Math.ceil(actual));
		}
		return estimator;
	}

	@Test
	void usesRequestEstimateBeforeFirstResponse() {
		Assertions.assertThat(this.lengths.model().estimateTokens(500, 0)).isCloseTo(500, Percentage.withPercentage(1));
		Assertions.assertThat(this.lengths.model().estimateTokens(500, 1)).isBetween(600.0, 800.0);
	}

	@Test
	void followsAccurateEstimates() {
		OutputLengthEstimator estimator = estimatorAfter(500, 0.5, 0.02, 60);
		Assertions.assertThat(estimator.model().estimateTokens(1_500, 0)).isBetween(1_350.0, 1_650.0);
		Assertions.assertThat(estimator.model().estimateTokens(1_500, 1)).isLessThan(1.25 * 1_500);
	}

	// Estimates say nothing. Followed, the low ones would set too little memory aside and
	// have running answers dropped, and the high ones would keep others out.
	@Test
	void regressesUninformativeEstimatesToTheMean() {
		OutputLengthEstimator estimator = estimatorAfter(4_700, 0.1, 1, 60);
		Assertions.assertThat(estimator.model().estimateTokens(1_000, 0)).isGreaterThan(3_000);
		Assertions.assertThat(estimator.model().estimateTokens(20_000, 0)).isLessThan(8_000);
	}

	// A VM starts in the middle of a burst. The others have seen that short estimates are
	// too short; until it had seen it too, running answers would be dropped for want of
	// memory.
	@Test
	void startsFromModelOfOtherVms() {
		OutputLengthModel known = estimatorAfter(4_700, 0.1, 1, 60).model();
		this.lengths.setPrior(known);
		Assertions.assertThat(this.lengths.model()).isEqualTo(known);
		this.lengths.add(1_000, 4_700);
		Assertions.assertThat(this.lengths.model().estimateTokens(1_000, 0)).isGreaterThan(3_000);
	}

	@Property(tries = 1_000, seed = "31")
	void isPositiveAndIncreasesWithDeviations(@ForAll @IntRange(min = 1, max = 20_000) int median,
			@ForAll @DoubleRange(min = 0, max = 1.5) double spread,
			@ForAll @DoubleRange(min = 0, max = 1.5) double error, @ForAll @IntRange(min = 0, max = 100) int n,
			@ForAll @IntRange(min = 0, max = 100_000) int expected) {
		OutputLengthEstimator estimator = estimatorAfter(median, spread, error, n);
		Assertions.assertThat(estimator.model().estimateTokens(expected, 0)).isFinite().isPositive();
		Assertions.assertThat(estimator.model().estimateTokens(expected, 1)).isGreaterThanOrEqualTo(estimator.model().estimateTokens(expected, 0));
	}

	// Most of those that end later are no longer than was set aside, and what is set
	// aside is no multiple of what is needed.
	@Property(tries = 100, seed = "32")
	void coversMostResponses(@ForAll @IntRange(min = 20, max = 5_000) int median,
			@ForAll @DoubleRange(min = 0.1, max = 0.8) double spread,
			@ForAll @DoubleRange(min = 0, max = 0.8) double error) {
		OutputLengthEstimator estimator = estimatorAfter(median, spread, error, 100);
		Random random = new Random(4);
		int covered = 0;
		double needed = 0;
		double reserved = 0;
		for (int i = 0; i < 400; i++) {
			double actual = median * Math.exp(spread * random.nextGaussian());
			int expected = (int) Math.ceil(actual * Math.exp(error * random.nextGaussian()));
			covered += (actual <= estimator.model().estimateTokens(expected, 1)) ? 1 : 0;
			needed += actual;
			reserved += estimator.model().estimateTokens(expected, 1);
		}
		Assertions.assertThat(covered).isGreaterThan(240);
		Assertions.assertThat(reserved).isLessThan(2.5 * needed);
	}

}
