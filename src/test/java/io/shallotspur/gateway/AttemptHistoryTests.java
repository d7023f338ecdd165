package io.shallotspur.gateway;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link AttemptHistory}.
 */
class AttemptHistoryTests {

	@ParameterizedTest
	@CsvSource({ "NOT_SENT, true, RETRY", "NOT_SENT, false, REFUSE_NOT_RUN", "NOT_RUN, true, RETRY",
			"NOT_RUN, false, REFUSE_NOT_RUN", "FAILED, true, RETRY", "FAILED, false, RELAY_FAILURE",
			"UNKNOWN, true, RETRY", "UNKNOWN, false, REPORT_UNKNOWN" })
	void eachOutcomeHasOneNextStep(AttemptOutcome end, boolean mayRetry, NextStep next) {
		AttemptHistory h = AttemptHistory.NONE.with(end);
		Assertions.assertThat(h.nextStep(end, mayRetry)).isEqualTo(next);
	}

	// A first worker fails while it runs the request, and a second one refuses it. If
	// only the second counted, the caller would be told that nothing ran and would repeat
	// a renewal that the first worker has issued.
	@Property(tries = 10_000, seed = "1")
	void neverReportsNotRunAfterAnAttemptThatMayHaveRun(@ForAll @Size(min = 1, max = 6) List<AttemptOutcome> ends) {
		AttemptHistory h = AttemptHistory.NONE;
		boolean mayHaveRun = false;
		for (AttemptOutcome e : ends) {
			h = h.with(e);
			mayHaveRun |= e.mayHaveRun();
			NextStep next = h.nextStep(e, false);
			Assertions.assertThat(next == NextStep.REFUSE_NOT_RUN).isEqualTo(!mayHaveRun);
		}
	}

	@Property(tries = 10_000, seed = "1")
	void nonRepeatableRequestRunsAtMostOnce(@ForAll @Size(max = 6) List<AttemptOutcome> ends) {
		AttemptHistory h = AttemptHistory.NONE;
		for (AttemptOutcome e : ends) {
			h = h.with(e);
		}
		boolean mayHaveRun = ends.stream().anyMatch(AttemptOutcome::mayHaveRun);
		Assertions.assertThat(h.allowsAnotherAttempt(100, false)).isEqualTo(!mayHaveRun);
		Assertions.assertThat(h.allowsAnotherAttempt(100, true)).isTrue();
		Assertions.assertThat(h.allowsAnotherAttempt(h.sentCount(), true)).isFalse();
	}

}
