package io.shallotspur.retry;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryTests {

	private static final int WORKERS = 9;

	@Test
	void amplificationStaysAtElevenTenthsWhenAThirdOfTheWorkersFail() {
		// Three of nine workers lose each call at once. Callers who each retry until they
		// are answered would send half as many calls again; other customers on the same
		// workers notice it as queueing.
		SplittableRandom rnd = new SplittableRandom(7);
		RetryBudget budget = new RetryBudget();
		OutlierDetector detector = new OutlierDetector();
		for (int w = 0; w < WORKERS; w++) {
			detector.addWorker("w" + w);
		}
		int sent = 0;
		int first = 20_000;
		int failed = 0;
		for (int i = 0; i < first; i++) {
			long now = i * 5L;
			budget.recordFirstAttempt("c", now);
			boolean ok = call(detector, rnd, now);
			sent++;
			while (!ok && budget.tryRetry("c", now)) {
				ok = call(detector, rnd, now);
				sent++;
			}
			failed += ok ? 0 : 1;
			assertThat(detector.ejectedCount()).isLessThanOrEqualTo(WORKERS / 2);
		}
		assertThat((double) sent / first).isLessThanOrEqualTo(1.1);
		assertThat((double) failed / first).isLessThan(0.01);
	}

	@Test
	void budgetBoundsRetriesWhenEverythingFails() {
		RetryBudget budget = new RetryBudget();
		int retries = 0;
		for (int i = 0; i < 10_000; i++) {
			budget.recordFirstAttempt("c", i);
			while (budget.tryRetry("c", i)) {
				retries++;
			}
		}
		assertThat(retries).isBetween(900, 1_000);
		assertThat(budget.tryRetry("idle", 0)).isTrue();
		assertThat(budget.tryRetry("idle", 0)).isTrue();
		assertThat(budget.tryRetry("idle", 0)).isFalse();
	}

	@Test
	void ejectedWorkerIsProbedByOneCallAndComesBack() {
		OutlierDetector d = new OutlierDetector();
		d.addWorker("a");
		d.addWorker("b");
		for (int i = 0; i < 3; i++) {
			d.recordFailure("a", 0);
			d.recordFailure("b", 0);
		}
		assertThat(d.health("a", 999)).isEqualTo(WorkerHealth.EJECTED);
		assertThat(d.health("b", 999)).as("the cap keeps one of two in").isEqualTo(WorkerHealth.HEALTHY);
		assertThat(d.health("a", 1_000)).isEqualTo(WorkerHealth.PROBE);
		d.recordStart("a", 1_000);
		assertThat(d.health("a", 1_001)).as("one probe at a time").isEqualTo(WorkerHealth.EJECTED);
		d.recordFailure("a", 1_010);
		assertThat(d.health("a", 3_009)).as("the ejection doubles").isEqualTo(WorkerHealth.EJECTED);
		d.recordSuccess("a", 5, 3_100);
		assertThat(d.health("a", 3_100)).as("no probe was sent").isEqualTo(WorkerHealth.PROBE);
		d.recordStart("a", 3_100);
		d.recordSuccess("a", 5, 3_100);
		assertThat(d.health("a", 3_100)).isEqualTo(WorkerHealth.PROBE);
		d.recordStart("a", 3_200);
		d.recordSuccess("a", 5, 3_200);
		assertThat(d.health("a", 3_200)).isEqualTo(WorkerHealth.HEALTHY);
	}

	@Test
	void slowWorkerIsEjected() {
		// Its late answers to calls sent before the ejection must not bring it back.
		OutlierDetector d = new OutlierDetector();
		d.addWorker("slow");
		d.addWorker("b");
		d.addWorker("c");
		for (int i = 0; i < 30; i++) {
			d.recordSuccess("b", 10, i);
			d.recordSuccess("c", 12, i);
			d.recordSuccess("slow", 500, i);
		}
		assertThat(d.health("slow", 30)).isEqualTo(WorkerHealth.EJECTED);
		assertThat(d.health("b", 30)).isEqualTo(WorkerHealth.HEALTHY);
	}

	@Test
	void backoffDrawsEvenlyAndKeepsTheDeadline() {
		SplittableRandom rnd = new SplittableRandom(1);
		double sum = 0;
		for (int i = 0; i < 10_000; i++) {
			long d = Backoff.DEFAULT.delay(4, rnd);
			assertThat(d).isBetween(0L, 160L);
			sum += d;
		}
		assertThat(sum / 10_000).isBetween(75.0, 85.0);
		assertThat(Backoff.DEFAULT.delay(1_000, rnd)).isBetween(0L, 1_000L);
		assertThat(Backoff.DEFAULT.delayWithin(1, 100, 149, 50, rnd)).isEmpty();
		assertThat(Backoff.DEFAULT.delayWithin(9, 100, 155, 50, rnd).getAsLong()).isBetween(0L, 5L);
	}

	private static boolean call(OutlierDetector d, SplittableRandom rnd, long now) {
		String w;
		do {
			w = "w" + rnd.nextInt(WORKERS);
		}
		while (d.health(w, now) == WorkerHealth.EJECTED);
		d.recordStart(w, now);
		boolean ok = w.compareTo("w3") >= 0;
		if (ok) {
			d.recordSuccess(w, 20, now);
		}
		else {
			d.recordFailure(w, now);
		}
		return ok;
	}

}
