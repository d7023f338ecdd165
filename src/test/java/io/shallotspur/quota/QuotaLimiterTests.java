package io.shallotspur.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;
import io.shallotspur.route.QuotaUnit;

/**
 * Tests of quotas at one VM, and over several VMs that spend their shares.
 */
class QuotaLimiterTests {

	private static final long WINDOW_MS = 8_000;

	private static final QuotaTolerance TOLERANCE = new QuotaTolerance(WINDOW_MS, 0.1, 20_000);

	private static final int MAX_COST = 6_200;

	private static final int RANK = 1;

	private static final QuotaShare ALONE = QuotaShare.of(1, false);

	private static Customer customer(double perSecond, double burst) {
		return new Customer("acme", Set.of(), null, new Quota(QuotaUnit.TOKENS, perSecond, burst, 200));
	}

	// Guards against a full burst after each start: after a power failure no VM knows
	// what was spent a second before, and a customer could spend the burst repeatedly.
	@Test
	void newlyStartedVmHasNoBurst() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, 1_000);
		Customer c = customer(10_000, 50_000);
		double spent = 0;
		while (limiter.charge(c, RANK, 200, ALONE, 1_000).isAdmitted()) {
			spent += 200;
		}
		Assertions.assertThat(spent).isLessThanOrEqualTo(5_000);
	}

	// Guards against long prompts that exhaust a quota: all plain requests, each of which
	// costs a thirtieth of a long prompt, would be refused for the sake of one more
	// long prompt.
	@Test
	void plainRequestsPassWhileLongPromptsAreRefused() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, -100_000);
		Customer c = customer(100_000, 100_000);
		for (long now = 0; now < 20_000; now += 10) {
			limiter.charge(c, RANK, 6_200, ALONE, now);
			Assertions.assertThat(limiter.charge(c, RANK, 200, ALONE, now).isAdmitted()).isTrue();
		}
	}

	// Guards against refusals when all callers of a customer at half of its quota use one
	// of three VMs for a while. The VM's share alone would refuse a third of them.
	@Test
	void burstAtOneVmPassesWithinTheTolerance() {
		QuotaLimiter limiter = new QuotaLimiter(new QuotaTolerance(WINDOW_MS, 0.1, 190_000), -100_000);
		Customer c = customer(47_000, 47_000);
		for (long now = 0; now < 4_000; now += 250) {
			Assertions.assertThat(limiter.charge(c, RANK, 5_900, QuotaShare.of(3, false), now).isAdmitted()).isTrue();
		}
	}

	// Guards against a burst that is granted again at each VM that begins to serve
	// callers: the more a customer sends, the more VMs serve.
	@Test
	void burstIsGrantedOnceWhileMoreVmsBeginToServe() {
		QuotaTolerance tolerance = new QuotaTolerance(WINDOW_MS, 0.1, 190_000);
		Customer c = customer(32_800, 118_000);
		List<QuotaLimiter> limiters = Stream.generate(() -> new QuotaLimiter(tolerance, -100_000)).limit(10).toList();
		double spent = 0;
		for (long now = 0; now < WINDOW_MS; now += 250) {
			int serving = 2 + (int) (now / 1_000);
			for (int vm = 0; vm < limiters.size(); vm++) {
				QuotaShare share = QuotaShare.of(serving, vm >= serving);
				limiters.get(vm).update(share, now);
				while (vm < serving && limiters.get(vm).charge(c, RANK, MAX_COST, share, now).isAdmitted()) {
					spent += MAX_COST;
				}
			}
		}
		Assertions.assertThat(spent).isLessThanOrEqualTo((32_800 * 8 + 118_000) * 1.1 + 190_000);
	}

	// Guards against refusals of a customer that asks for no more than its quota allows
	// in each window: a burst that is granted once would be used up.
	@Test
	void eachWindowMayContainABurst() {
		QuotaLimiter limiter = new QuotaLimiter(new QuotaTolerance(WINDOW_MS, 0.1, 190_000), -100_000);
		Customer c = customer(32_800, 118_000);
		for (long now = 0; now < 60_000; now += 100) {
			double cost = (32_800 + 118_000 / 8) / 10;
			Assertions.assertThat(limiter.charge(c, RANK, cost, ALONE, now).isAdmitted()).isTrue();
		}
	}

	@Test
	void reportsTheTimeUntilQuotaIsAvailable() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, -100_000);
		Customer c = customer(1_000, 1_000);
		limiter.charge(c, RANK, 20_000, ALONE, 3_000);
		long wait = limiter.charge(c, RANK, 200, ALONE, 5_000).refillMs();
		Assertions.assertThat(wait).isBetween(7_000L, 7_500L);
		Assertions.assertThat(limiter.charge(c, RANK, 200, ALONE, 5_000 + wait).isAdmitted()).isTrue();
	}

	// Guards against several VMs with equal shares that together exceed the quota, with
	// callers spread in any way and VMs that restart and forget what was spent. In no
	// window may the customer get more than the operator tolerates, plus one request per
	// VM, which the operator's slack covers, and per start one more request and the
	// initial allowance of a VM.
	@Test
	void allVmsTogetherStayWithinTheQuotaInEachWindow() {
		for (long seed = 0; seed < 40; seed++) {
			Random r = new Random(seed);
			int vms = 1 + r.nextInt(5);
			int ranks = 1 + (int) (seed % 3);
			Customer c = customer(5_000 + r.nextInt(50_000), 5_000 + r.nextInt(50_000));
			List<QuotaLimiter> limiters = new ArrayList<>();
			for (int i = 0; i < vms; i++) {
				limiters.add(new QuotaLimiter(TOLERANCE, -100_000));
			}
			List<Charge> charges = new ArrayList<>();
			List<Long> starts = new ArrayList<>();
			for (long now = 0; now < 30_000; now += 1 + r.nextInt(20)) {
				int vm = (r.nextInt(3) == 0) ? 0 : r.nextInt(vms);
				if (r.nextInt(1_000) == 0) {
					limiters.set(vm, new QuotaLimiter(TOLERANCE, now));
					starts.add(now);
				}
				double cost = 200 + r.nextInt(MAX_COST - 200);
				if (limiters.get(vm).charge(c, r.nextInt(ranks), cost, QuotaShare.of(vms, false), now).isAdmitted()) {
					charges.add(new Charge(now, cost));
				}
			}
			assertWithinQuota(charges, starts, c.quota(), vms, seed);
		}
	}

	private static void assertWithinQuota(List<Charge> charges, List<Long> starts, Quota q, int vms, long seed) {
		for (int from = 0; from < charges.size(); from++) {
			long begin = charges.get(from).at();
			double sum = charges.stream()
				.filter((x) -> x.at() >= begin && x.at() < begin + WINDOW_MS)
				.mapToDouble(Charge::cost)
				.sum();
			long startCount = starts.stream().filter((t) -> t >= begin && t < begin + WINDOW_MS).count();
			double quota = q.unitsPerSecond() * WINDOW_MS / 1_000 + q.burst();
			double max = quota + (TOLERANCE.overshoot() * quota + TOLERANCE.slack()) / 2 + (vms + startCount) * MAX_COST
					+ startCount * q.unitsPerSecond() / vms / 2;
			Assertions.assertThat(sum).as("seed %d", seed).isLessThanOrEqualTo(max);
		}
	}

	private record Charge(long at, double cost) {

	}

}
