package io.shallotspur.retry;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryTests {

	private static final int WORKERS = 9;

	@Test
	void retriesAddAtMostTenPercentWhenOneThirdOfWorkersFails() {
		// Three of nine workers lose each call immediately. If every caller retried until
		// it got a response, 50% more calls would be sent, and other customers on the
		// same workers would have to queue.
		SplittableRandom random = new SplittableRandom(7);
		RetryBudget budget = new RetryBudget();
		OutlierDetector detector = new OutlierDetector();
		for (int i = 0; i < WORKERS; i++) {
			detector.addWorker("w" + i);
		}
		int sent = 0;
		int firstAttempts = 20_000;
		int failed = 0;
		for (int i = 0; i < firstAttempts; i++) {
			long now = i * 5L;
			budget.recordFirstAttempt("c", now);
			boolean ok = call(detector, random, now);
			sent++;
			while (!ok && budget.tryRetry("c", now)) {
				ok = call(detector, random, now);
				sent++;
			}
			failed += ok ? 0 : 1;
			assertThat(detector.ejectedCount()).isLessThanOrEqualTo(WORKERS / 2);
		}
		assertThat((double) sent / firstAttempts).isLessThanOrEqualTo(1.1);
		assertThat((double) failed / firstAttempts).isLessThan(0.01);
	}

	@Test
	void budgetLimitsRetriesWhenAllCallsFail() {
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
	void ejectedWorkerIsProbedWithOneCallAtATimeAndRestored() {
		OutlierDetector detector = new OutlierDetector();
		detector.addWorker("a");
		detector.addWorker("b");
		for (int i = 0; i < 3; i++) {
			detector.recordFailure("a", 0);
			detector.recordFailure("b", 0);
		}
		assertThat(detector.health("a", 999)).isEqualTo(WorkerHealth.EJECTED);
		assertThat(detector.health("b", 999)).as("at most one of two workers is ejected")
			.isEqualTo(WorkerHealth.HEALTHY);
		assertThat(detector.health("a", 1_000)).isEqualTo(WorkerHealth.PROBE);
		detector.recordStart("a", 1_000);
		assertThat(detector.health("a", 1_001)).as("one probe at a time").isEqualTo(WorkerHealth.EJECTED);
		detector.recordFailure("a", 1_010);
		assertThat(detector.health("a", 3_009)).as("the ejection time doubles").isEqualTo(WorkerHealth.EJECTED);
		detector.recordSuccess("a", 5, 3_100);
		assertThat(detector.health("a", 3_100)).as("a response without a probe is ignored")
			.isEqualTo(WorkerHealth.PROBE);
		detector.recordStart("a", 3_100);
		detector.recordSuccess("a", 5, 3_100);
		assertThat(detector.health("a", 3_100)).isEqualTo(WorkerHealth.PROBE);
		detector.recordStart("a", 3_200);
		detector.recordSuccess("a", 5, 3_200);
		assertThat(detector.health("a", 3_200)).isEqualTo(WorkerHealth.HEALTHY);
	}

	@Test
	void slowWorkerIsEjected() {
		// Late responses to calls sent before the ejection must not restore the worker.
		OutlierDetector detector = new OutlierDetector();
		detector.addWorker("slow");
		detector.addWorker("b");
		detector.addWorker("c");
		for (int i = 0; i < 30; i++) {
			detector.recordSuccess("b", 10, i);
			detector.recordSuccess("c", 12, i);
			detector.recordSuccess("slow", 500, i);
		}
		assertThat(detector.health("slow", 30)).isEqualTo(WorkerHealth.EJECTED);
		assertThat(detector.health("b", 30)).isEqualTo(WorkerHealth.HEALTHY);
	}

	private static OutlierDetector unevenWorkers() {
		OutlierDetector d = new OutlierDetector();
		List.of("slow", "b", "c", "fast").forEach(d::addWorker);
		for (int i = 0; i < 100; i++) {
			d.recordSuccess("slow", 200, i * 10);
			d.recordSuccess("b", 100, i * 10);
			d.recordSuccess("c", 100, i * 10);
			d.recordSuccess("fast", 40, i * 10);
		}
		return d;
	}

	// Guards against judging a worker by the others' pace: the slow one is 10 times as
	// slow as they are, which is 5 times its own pace; the fast one 10 times its own,
	// which is 4 times theirs.
	@Test
	void unevenWorkerIsJudgedByItsOwnPace() {
		OutlierDetector d = unevenWorkers();
		for (int i = 0; i < 200; i++) {
			d.recordSuccess("slow", 1_000, 1_000 + i * 20);
			d.recordSuccess("fast", 400, 1_000 + i * 20);
		}
		assertThat(d.health("slow", 5_000)).isEqualTo(WorkerHealth.HEALTHY);
		assertThat(d.ejectedCount()).as("the fast worker").isEqualTo(1);
	}

	// Guards against ejecting a worker that its machine's neighbour slows down.
	@Test
	void shortDisturbanceOfAnUnevenWorkerIsNotAnOutlier() {
		OutlierDetector d = unevenWorkers();
		for (int i = 0; i < 50; i++) {
			d.recordSuccess("fast", 1_000, 1_000 + i * 10);
		}
		assertThat(d.ejectedCount()).isZero();
		for (int i = 0; i < 60; i++) {
			d.recordSuccess("fast", 1_000, 1_500 + i * 10);
		}
		assertThat(d.ejectedCount()).isEqualTo(1);
	}

	@Test
	void backoffIsUniformlyDistributedAndKeepsTheDeadline() {
		SplittableRandom random = new SplittableRandom(1);
		double sum = 0;
		for (int i = 0; i < 10_000; i++) {
			long delay = Backoff.DEFAULT.delay(4, random);
			assertThat(delay).isBetween(0L, 160L);
			sum += delay;
		}
		assertThat(sum / 10_000).isBetween(75.0, 85.0);
		assertThat(Backoff.DEFAULT.delay(1_000, random)).isBetween(0L, 1_000L);
		assertThat(Backoff.DEFAULT.delayWithin(1, 100, 149, 50, random)).isEmpty();
		assertThat(Backoff.DEFAULT.delayWithin(9, 100, 155, 50, random).getAsLong()).isBetween(0L, 5L);
	}

	private static boolean call(OutlierDetector detector, SplittableRandom random, long now) {
		String worker;
		do {
			worker = "w" + random.nextInt(WORKERS);
		}
		while (detector.health(worker, now) == WorkerHealth.EJECTED);
		detector.recordStart(worker, now);
		boolean ok = worker.compareTo("w3") >= 0;
		if (ok) {
			detector.recordSuccess(worker, 20, now);
		}
		else {
			detector.recordFailure(worker, now);
		}
		return ok;
	}

}
