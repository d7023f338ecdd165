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
 * Tests of {@link AnswerLengths}, with answers of 20 to 5,000 tokens.
 */
class AnswerLengthsTests {

	private final AnswerLengths lengths = new AnswerLengths();

	// Answers around a median, and estimates that are as often too high as too low.
	private static AnswerLengths seen(int median, double spread, double error, int n) {
		AnswerLengths l = new AnswerLengths();
		Random r = new Random(3);
		for (int i = 0; i < n; i++) {
			double actual = median * Math.exp(spread * r.nextGaussian());
			l.ended((int) Math.ceil(actual * Math.exp(error * r.nextGaussian())), (int) Math.ceil(actual));
		}
		return l;
	}

	@Test
	void anEstimateStandsForItselfBeforeTheFirstAnswer() {
		Assertions.assertThat(this.lengths.model().tokens(500, 0)).isCloseTo(500, Percentage.withPercentage(1));
		Assertions.assertThat(this.lengths.model().tokens(500, 1)).isBetween(600.0, 800.0);
	}

	@Test
	void followsEstimatesThatAreRight() {
		AnswerLengths l = seen(500, 0.5, 0.02, 60);
		Assertions.assertThat(l.model().tokens(1_500, 0)).isBetween(1_350.0, 1_650.0);
		Assertions.assertThat(l.model().tokens(1_500, 1)).isLessThan(1.25 * 1_500);
	}

	// Estimates say nothing. Followed, the low ones would set too little memory aside and
	// have running answers dropped, and the high ones would keep others out.
	@Test
	void drawsEstimatesThatSayNothingToTheMean() {
		AnswerLengths l = seen(4_700, 0.1, 1, 60);
		Assertions.assertThat(l.model().tokens(1_000, 0)).isGreaterThan(3_000);
		Assertions.assertThat(l.model().tokens(20_000, 0)).isLessThan(8_000);
	}

	// A VM starts in the middle of a burst. The others have seen that short estimates are
	// too short; until it had seen it too, running answers would be dropped for want of
	// memory.
	@Test
	void beginsWithWhatOtherVmsHaveSeen() {
		LengthModel known = seen(4_700, 0.1, 1, 60).model();
		this.lengths.heard(known);
		Assertions.assertThat(this.lengths.model()).isEqualTo(known);
		this.lengths.ended(1_000, 4_700);
		Assertions.assertThat(this.lengths.model().tokens(1_000, 0)).isGreaterThan(3_000);
	}

	@Property(tries = 1_000, seed = "31")
	void isPositiveAndGrowsWithTheDeviations(@ForAll @IntRange(min = 1, max = 20_000) int median,
			@ForAll @DoubleRange(min = 0, max = 1.5) double spread,
			@ForAll @DoubleRange(min = 0, max = 1.5) double error, @ForAll @IntRange(min = 0, max = 100) int n,
			@ForAll @IntRange(min = 0, max = 100_000) int expected) {
		AnswerLengths l = seen(median, spread, error, n);
		Assertions.assertThat(l.model().tokens(expected, 0)).isFinite().isPositive();
		Assertions.assertThat(l.model().tokens(expected, 1)).isGreaterThanOrEqualTo(l.model().tokens(expected, 0));
	}

	// Most of those that end later are no longer than was set aside, and what is set
	// aside is no multiple of what is needed.
	@Property(tries = 100, seed = "32")
	void coversMostAnswers(@ForAll @IntRange(min = 20, max = 5_000) int median,
			@ForAll @DoubleRange(min = 0.1, max = 0.8) double spread,
			@ForAll @DoubleRange(min = 0, max = 0.8) double error) {
		AnswerLengths l = seen(median, spread, error, 100);
		Random r = new Random(4);
		int covered = 0;
		double needed = 0;
		double setAside = 0;
		for (int i = 0; i < 400; i++) {
			double actual = median * Math.exp(spread * r.nextGaussian());
			int expected = (int) Math.ceil(actual * Math.exp(error * r.nextGaussian()));
			covered += (actual <= l.model().tokens(expected, 1)) ? 1 : 0;
			needed += actual;
			setAside += l.model().tokens(expected, 1);
		}
		Assertions.assertThat(covered).isGreaterThan(240);
		Assertions.assertThat(setAside).isLessThan(2.5 * needed);
	}

}
