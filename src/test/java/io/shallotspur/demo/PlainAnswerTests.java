package io.shallotspur.demo;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.demo.DemoCaller.PlainAnswer;

/**
 * Tests of what counts as a contradiction between two calls with one key.
 */
class PlainAnswerTests {

	private static final PlainAnswer ANSWER = new PlainAnswer(200, "{\"run\":1}", 10, true);

	// The entry VM of the second call dies while the first call's worker is at work. The
	// second caller hears that its outcome is not known, which is true.
	@Test
	void anUnknownOutcomeDoesNotContradictAnAnswer() {
		PlainAnswer unknown = new PlainAnswer(502, "{\"outcome\":\"outcome_unknown\"}", 10, true);
		Assertions.assertThat(unknown.agreesWith(ANSWER)).isTrue();
	}

	@Test
	void notRunContradictsAnAnswer() {
		PlainAnswer notRun = new PlainAnswer(503, "{\"outcome\":\"not_run\"}", 10, true);
		Assertions.assertThat(notRun.agreesWith(ANSWER)).isFalse();
	}

	@Test
	void twoDifferentAnswersContradictEachOther() {
		PlainAnswer second = new PlainAnswer(200, "{\"run\":2}", 10, true);
		Assertions.assertThat(second.agreesWith(ANSWER)).isFalse();
	}

}
