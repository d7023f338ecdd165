package io.shallotspur.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;
import io.shallotspur.route.QuotaUnit;

/**
 * Tests of how a quota is divided among the ranks of a customer, over several VMs in
 * virtual time. Urgent requests are long prompts, the less urgent ones prompts and plain
 * requests.
 */
class QuotaRankTests {

	private static final double RATE = 47_000;

	private static final QuotaTolerance TOLERANCE = new QuotaTolerance(8_000, 0.1, 190_000);

	private static final Customer ACME = new Customer("acme", Set.of(), null,
			new Quota(QuotaUnit.TOKENS, RATE, RATE, 200));

	private static final int URGENT = 0;

	private static final int OTHER = 2;

	// Guards against small requests that take each refill before a long urgent prompt
	// can: a customer whose limit was lowered would lose its urgent requests first.
	@Test
	void urgentRequestsAreServedWhileTheOthersExceedTheQuota() {
		for (int vms : new int[] { 1, 2, 4, 8 }) {
			Load ranked = Load.run(vms, URGENT, 0.3, 1.7);
			Load unranked = Load.run(vms, OTHER, 0.3, 1.7);
			Assertions.assertThat(ranked.urgent.refusedShare()).as("%d VMs", vms).isLessThan(0.02);
			Assertions.assertThat(unranked.urgent.refusedShare()).as("%d VMs", vms).isGreaterThan(0.4);
			Assertions.assertThat(ranked.admittedPerSecond()).isGreaterThan(0.95 * unranked.admittedPerSecond());
		}
	}

	// Guards against refusals within the quota, where a reserve would be left unused.
	@Test
	void nothingIsRefusedWithinTheQuota() {
		for (int vms : new int[] { 1, 2, 4, 8, 16 }) {
			Load load = Load.run(vms, URGENT, 0.15, 0.4);
			Assertions.assertThat(load.urgent.refusedShare()).as("%d VMs", vms).isLessThan(0.02);
			Assertions.assertThat(load.other.refusedShare()).as("%d VMs", vms).isLessThan(0.02);
		}
	}

	// Guards against a reserve for ranks that the customer no longer uses.
	@Test
	void reserveEndsWithTheDemand() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, -100_000);
		QuotaShare share = QuotaShare.of(4, false);
		limiter.charge(ACME, URGENT, 120_000, share, 0);
		Assertions.assertThat(limiter.charge(ACME, OTHER, 200, share, 1_000).reserve()).isGreaterThan(3_000);
		Assertions.assertThat(limiter.charge(ACME, OTHER, 200, share, 120_000).reserve()).isEqualTo(800);
	}

	// The delay must suffice for the rank that is told to wait, not only for the most
	// urgent one.
	@Test
	void retryDelayIsThatOfTheRank() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, -100_000);
		QuotaShare share = QuotaShare.of(4, false);
		limiter.charge(ACME, URGENT, 120_000, share, 0);
		long urgentMs = limiter.charge(ACME, URGENT, 3_000, share, 0).refillMs();
		long otherMs = limiter.charge(ACME, OTHER, 3_000, share, 0).refillMs();
		Assertions.assertThat(urgentMs).isPositive().isLessThan(otherMs);
		Assertions.assertThat(limiter.charge(ACME, OTHER, 3_000, share, otherMs).isAdmitted()).isTrue();
	}

	@Test
	void reserveNeverFallsWithTheRankWhateverTheCosts() {
		Random r = new Random(7);
		for (int i = 0; i < 10_000; i++) {
			double capacity = 1 + r.nextInt(100_000);
			double perSecond = r.nextInt(200_000);
			double previous = 0;
			for (int ranks = 0; ranks < 6; ranks++) {
				RankDemand.Demand above = new RankDemand.Demand(ranks, perSecond * ranks, 3_000 * ranks);
				double smallest = QuotaReserve.of(0, above, capacity);
				double largest = QuotaReserve.of(1e9, above, capacity);
				Assertions.assertThat(smallest).isGreaterThanOrEqualTo(previous - 1e-6);
				Assertions.assertThat(largest).isLessThan(capacity);
				previous = largest;
			}
		}
	}

	// Guards against a reserve that a customer without ranks would get for other ranks.
	@Test
	void singleRankLeavesOnlyTheReserveByCost() {
		Assertions.assertThat(QuotaReserve.of(200, RankDemand.Demand.NONE, 100_000)).isEqualTo(800);
		Assertions.assertThat(QuotaReserve.of(6_200, RankDemand.Demand.NONE, 100_000)).isEqualTo(10_000);
	}

	/**
	 * Requests of one customer at random VMs for a minute.
	 */
	private static final class Load {

		private static final long DURATION_MS = 60_000;

		// Until the buckets have lost their burst and the demand is known.
		private static final long WARM_UP_MS = 10_000;

		private final Tally urgent = new Tally();

		private final Tally other = new Tally();

		// The demand of each kind is a multiple of the quota's rate.
		static Load run(int vms, int urgentRank, double urgentDemand, double otherDemand) {
			Load load = new Load();
			Random r = new Random(vms);
			List<QuotaLimiter> limiters = new ArrayList<>();
			for (int i = 0; i < vms; i++) {
				limiters.add(new QuotaLimiter(TOLERANCE, -100_000));
			}
			QuotaShare share = QuotaShare.of(vms, false);
			for (long now = -WARM_UP_MS; now < DURATION_MS; now++) {
				if (r.nextDouble() < urgentDemand * RATE / 3_400 / 1_000) {
					double cost = 1_700 + r.nextInt(3_400);
					load.urgent.add(now, cost, limiters.get(r.nextInt(vms)).charge(ACME, urgentRank, cost, share, now));
				}
				if (r.nextDouble() < otherDemand * RATE / 1_000 / 1_000) {
					double cost = (r.nextInt(4) == 0) ? 3_400 : 200;
					load.other.add(now, cost, limiters.get(r.nextInt(vms)).charge(ACME, OTHER, cost, share, now));
				}
			}
			return load;
		}

		double admittedPerSecond() {
			return (this.urgent.admitted + this.other.admitted) * 1_000 / DURATION_MS;
		}

	}

	private static final class Tally {

		private double asked;

		private double admitted;

		void add(long now, double cost, QuotaDecision decision) {
			this.asked += (now >= 0) ? cost : 0;
			this.admitted += (now >= 0 && decision.isAdmitted()) ? cost : 0;
		}

		double refusedShare() {
			return 1 - this.admitted / this.asked;
		}

	}

}
