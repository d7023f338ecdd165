package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link RetryAccount}.
 */
class RetryAccountTests {

	private static final double RATIO = 0.2;

	private static final long WINDOW_MS = 10_000;

	private static final double SLACK = 7.5;

	private final RetryAccount account = new RetryAccount(RATIO, WINDOW_MS);

	private int retriesAt(long now, double slack) {
		int n = 0;
		while (this.account.tryRetry(slack, now)) {
			n++;
		}
		return n;
	}

	@Test
	void slackIsAvailableOnceAWindow() {
		Assertions.assertThat(retriesAt(0, SLACK)).isEqualTo(7);
		Assertions.assertThat(retriesAt(WINDOW_MS, SLACK)).isZero();
		Assertions.assertThat(retriesAt(WINDOW_MS + 1, SLACK)).isEqualTo(7);
	}

	@Test
	void firstAttemptsAllowRetriesBeyondTheSlack() {
		retriesAt(0, SLACK);
		for (int i = 0; i < 25; i++) {
			this.account.recordFirstAttempt(1);
		}
		Assertions.assertThat(retriesAt(2, SLACK)).isEqualTo(5);
	}

	// Guards against spending the ratio of requests from before a failure: other VMs may
	// have taken over the callers by then.
	@Test
	void firstAttemptsFromBeforeAllowOneRetryOnly() {
		for (int i = 0; i < 1_000; i++) {
			this.account.recordFirstAttempt(i);
		}
		Assertions.assertThat(retriesAt(1_000, 0)).isEqualTo(1);
	}

	// Guards against a VM that never retries, as it has no part of the slack.
	@Test
	void withoutSlackOneInFiveRequestsIsRetried() {
		int retries = 0;
		for (int i = 0; i < 100; i++) {
			this.account.recordFirstAttempt(i);
			retries += retriesAt(i, 0);
		}
		Assertions.assertThat(retries).isEqualTo(20);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void noPeriodExceedsTheRatioOfItsOwnRequestsAndTheSlack(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Long> firsts = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		for (long now = 0; now < 5 * WINDOW_MS; now += random.nextLong(200)) {
			boolean busy = now / 3_000 % 2 == seed % 2;
			for (int i = 0; i < (busy ? random.nextInt(8) : random.nextInt(2)); i++) {
				this.account.recordFirstAttempt(now);
				firsts.add(now);
			}
			if (now / 4_000 % 3 != 0) {
				int n = retriesAt(now, SLACK);
				for (int i = 0; i < n; i++) {
					retries.add(now);
				}
			}
		}
		Assertions.assertThat(retries).isNotEmpty();
		for (int i = 0; i < retries.size(); i++) {
			long from = retries.get(i);
			for (int j = i; j < retries.size() && retries.get(j) <= from + WINDOW_MS; j++) {
				long to = retries.get(j);
				long requests = firsts.stream().filter((at) -> at >= from && at <= to).count();
				Assertions.assertThat(j - i + 1).isLessThanOrEqualTo((int) (RATIO * requests + SLACK + 1));
			}
		}
	}

}
