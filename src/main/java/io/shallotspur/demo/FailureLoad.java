package io.shallotspur.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.quarantine.SuspectEntry;
import io.shallotspur.retry.OutlierDetector;
import io.shallotspur.retry.RetryBudget;
import io.shallotspur.retry.WorkerHealth;

/**
 * Failing workers and requests that crash workers, with and without the mechanisms that
 * bound them. Not thread-safe.
 */
final class FailureLoad {

	private static final int WORKERS = 9;

	private static final int FAILING = 3;

	private static final int MAX_TRIES = 10;

	private static final int FIRST_TRIES = 50_000;

	private static final long GAP_MS = 5;

	private static final int NODES = 8;

	private static final int CELL = 16;

	private static final long BACK_MS = 5_000;

	private static final int NEIGHBOURS = 19;

	private static final int RESENDS = 10;

	private static final int POISON_REQUESTS = 1_000;

	private final SplittableRandom random;

	private long wronglyRefused;

	FailureLoad(long seed) {
		this.random = new SplittableRandom(seed);
	}

	Retries retries(boolean bounded) {
		RetryBudget budget = new RetryBudget();
		OutlierDetector detector = new OutlierDetector();
		for (int w = 0; w < WORKERS; w++) {
			detector.addWorker("w" + w);
		}
		long sent = 0;
		long failed = 0;
		for (int i = 0; i < FIRST_TRIES; i++) {
			long now = i * GAP_MS;
			budget.recordFirstAttempt("customer", now);
			boolean ok = call(detector, bounded, now);
			int tries = 1;
			while (!ok && tries < MAX_TRIES && (!bounded || budget.tryRetry("customer", now))) {
				ok = call(detector, bounded, now);
				tries++;
			}
			sent += tries;
			failed += ok ? 0 : 1;
		}
		return new Retries((double) sent / FIRST_TRIES, (double) failed / FIRST_TRIES);
	}

	private boolean call(OutlierDetector d, boolean bounded, long now) {
		int w = this.random.nextInt(WORKERS);
		while (bounded && d.health("w" + w, now) == WorkerHealth.EJECTED) {
			w = this.random.nextInt(WORKERS);
		}
		d.recordStart("w" + w, now);
		if (w < FAILING) {
			d.recordFailure("w" + w, now);
			return false;
		}
		d.recordSuccess("w" + w, 20, now);
		return true;
	}

	Poison poison(boolean quarantine) {
		List<CrashSuspects> nodes = new ArrayList<>();
		for (int i = 0; i < NODES; i++) {
			nodes.add(new CrashSuspects());
		}
		long lost = 0;
		int most = 0;
		long[] backAt = new long[CELL];
		this.wronglyRefused = 0;
		long fp = 1;
		long now = 0;
		for (int p = 0; p < POISON_REQUESTS; p++) {
			long poison = fp++;
			int crashes = 0;
			for (int i = 0; i < RESENDS; i++) {
				now += 1_000;
				CrashSuspects entry = nodes.get(this.random.nextInt(NODES));
				if (quarantine && entry.isQuarantined(poison, now)) {
					continue;
				}
				List<Long> running = new ArrayList<>(List.of(poison));
				for (int n = 0; n < NEIGHBOURS; n++) {
					running.add(fp++);
				}
				entry.recordCrash("w" + crash(backAt, now), running, now);
				crashes++;
				tell(nodes, entry, now);
				complete(nodes, entry, running, poison, now + 500);
			}
			lost += crashes;
			most = Math.max(most, crashes);
			// The next one comes an hour later: every table has forgotten.
			now += 3_600_000;
			long at = now;
			nodes.forEach((n) -> n.entries(at));
		}
		return new Poison((double) lost / POISON_REQUESTS, most, this.wronglyRefused);
	}

	private int crash(long[] backAt, long now) {
		int w = this.random.nextInt(CELL);
		while (backAt[w] > now) {
			w = this.random.nextInt(CELL);
		}
		backAt[w] = now + BACK_MS;
		return w;
	}

	private void complete(List<CrashSuspects> nodes, CrashSuspects entry, List<Long> running, long poison, long now) {
		for (long r : running) {
			if (r != poison) {
				this.wronglyRefused += entry.isQuarantined(r, now) ? 1 : 0;
				entry.recordCompletion(r, now);
			}
		}
		tell(nodes, entry, now);
	}

	private static void tell(List<CrashSuspects> nodes, CrashSuspects from, long now) {
		List<SuspectEntry> l = from.drainChanges(now);
		nodes.stream().filter((n) -> n != from).forEach((n) -> n.merge(l, now));
	}

	/**
	 * What retries did.
	 *
	 * @param amplification calls sent for each first try
	 * @param failed share of the requests that were not answered
	 */
	record Retries(double amplification, double failed) {

	}

	/**
	 * What requests that crash workers did.
	 *
	 * @param mean workers lost for each such request
	 * @param most the most for one of them
	 * @param wronglyRefused innocent requests that were quarantined
	 */
	record Poison(double mean, int most, long wronglyRefused) {

	}

}
