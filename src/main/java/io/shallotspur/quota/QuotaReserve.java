package io.shallotspur.quota;

/**
 * Computes how much of a bucket a request must leave to others. Stateless.
 * <p>
 * Designed for a customer that asks for more than its quota with requests of several
 * ranks. Each request is admitted while the bucket holds more than a reserve. Within a
 * rank the reserve grows with the cost, since otherwise long prompts that exhaust the
 * quota would also refuse the plain requests, which cost a thirtieth. Over ranks it has
 * to be the reverse: small requests arrive more often and would take each refill before a
 * large urgent request could. While all ranks together ask for less than the rate, there
 * is enough for all, and ranks have no effect.
 * <p>
 * Invariants: a request never has a larger reserve than one of a less urgent rank,
 * whatever the two cost; the most urgent rank leaves only the reserve by cost; the
 * reserve is less than the capacity, so that a full bucket admits every rank.
 */
final class QuotaReserve {

	private static final double MS_PER_S = 1_000;

	// The reserve by cost, in multiples of the cost.
	private static final double COSTS = 4;

	// Upper bound of the reserve by cost, as a share of the capacity.
	private static final double MAX_COST_SHARE = 0.1;

	// A less urgent request leaves what the more urgent ranks ask for in this time, ms,
	// and their largest request. Their requests arrive unevenly over about this time;
	// beyond it the refill serves them.
	private static final double DEMAND_MS = 2_000;

	// Upper bound of that reserve, as a share of the capacity. A bucket that stays half
	// full is not needed by the more urgent ranks.
	private static final double MAX_DEMAND_SHARE = 0.5;

	private QuotaReserve() {
	}

	/**
	 * Returns the reserve.
	 * @param cost the cost of the request
	 * @param above the recent demand of more urgent ranks
	 * @param capacity the capacity of the bucket
	 * @return units
	 */
	static double of(double cost, RankDemand.Demand above, double capacity) {
		double costBound = MAX_COST_SHARE * capacity;
		// The bounds of successive ranks halve, and each rank begins where the one before
		// it ends. All of them together stay below twice the first one.
		double rankBound = costBound * Math.pow(0.5, above.ranks());
		double rankBase = 2 * (costBound - rankBound);
		double demand = Math.min(MAX_DEMAND_SHARE * capacity,
				above.maxCost() + above.perSecond() * DEMAND_MS / MS_PER_S);
		return rankBase + demand + Math.min(rankBound, COSTS * cost);
	}

}
