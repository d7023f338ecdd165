package io.shallotspur.quota;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

import io.shallotspur.admission.DecayingRate;

/**
 * The recent demand of one customer at this VM by rank, in units of its quota, whether it
 * was admitted or not. Rank 0 is the most urgent. Not thread-safe; the present time is an
 * argument.
 * <p>
 * Invariant: a rank without requests for about a minute is forgotten, so that a customer
 * that no longer sends urgent requests has its whole quota for the others.
 */
final class RankDemand {

	// Below this fraction of the largest request that was seen, a rank has no demand.
	private static final double NEGLIGIBLE = 1e-4;

	private final TreeMap<Integer, Entry> byRank = new TreeMap<>();

	/**
	 * Records a request.
	 * @param rank its rank
	 * @param cost its cost in units
	 * @param now the present time in milliseconds
	 */
	void record(int rank, double cost, long now) {
		Entry e = this.byRank.computeIfAbsent(rank, (r) -> new Entry(new DecayingRate(now)));
		e.rate.add(cost, now);
		e.maxCost = Math.max(e.maxCost, cost);
	}

	/**
	 * Returns the demand of the ranks that are more urgent than a given one.
	 * @param rank the rank
	 * @param now the present time in milliseconds
	 * @return the demand
	 */
	Demand above(int rank, long now) {
		if (this.byRank.isEmpty() || this.byRank.firstKey() >= rank) {
			return Demand.NONE;
		}
		int ranks = 0;
		double perSecond = 0;
		Iterator<Map.Entry<Integer, Entry>> entries = this.byRank.headMap(rank).entrySet().iterator();
		while (entries.hasNext()) {
			Entry e = entries.next().getValue();
			double rate = e.rate.valueAt(now);
			if (rate < NEGLIGIBLE * e.maxCost) {
				entries.remove();
			}
			else {
				ranks++;
				perSecond += rate;
			}
		}
		return new Demand(ranks, perSecond);
	}

	/**
	 * The demand of several ranks. Immutable.
	 *
	 * @param ranks the number of ranks that have any
	 * @param perSecond units per second
	 */
	record Demand(int ranks, double perSecond) {

		static final Demand NONE = new Demand(0, 0);

	}

	private static final class Entry {

		private final DecayingRate rate;

		private double maxCost;

		Entry(DecayingRate rate) {
			this.rate = rate;
		}

	}

}
