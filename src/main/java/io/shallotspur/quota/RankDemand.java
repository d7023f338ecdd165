package io.shallotspur.quota;

import java.util.Collection;
import java.util.TreeMap;

import io.shallotspur.admission.DecayingRate;

/**
 * The recent demand of one customer at this VM by rank, in units of its quota, whether it
 * was admitted or not. Rank 0 is the most urgent. Not thread-safe; the present time is an
 * argument.
 * <p>
 * Invariant: a rank that has no more requests is forgotten within a minute or two, so
 * that a customer that no longer sends urgent requests has its whole quota for the
 * others.
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
	 * Returns the demand of the ranks that are more urgent than a given one, if all ranks
	 * together ask for more than there is.
	 * @param rank the rank
	 * @param perSecond this VM's share of the quota, in units per second
	 * @param now the present time in milliseconds
	 * @return the demand; {@link Demand#NONE} while all ranks together ask for no more
	 */
	Demand above(int rank, double perSecond, long now) {
		if (this.byRank.isEmpty() || this.byRank.firstKey() >= rank) {
			return Demand.NONE;
		}
		this.byRank.values().removeIf((e) -> e.rate.valueAt(now) < NEGLIGIBLE * e.maxCost);
		double total = this.byRank.values().stream().mapToDouble((e) -> e.rate.valueAt(now)).sum();
		return (total > perSecond) ? sum(this.byRank.headMap(rank).values(), now) : Demand.NONE;
	}

	private static Demand sum(Collection<Entry> entries, long now) {
		double perSecond = 0;
		double maxCost = 0;
		for (Entry e : entries) {
			perSecond += e.rate.valueAt(now);
			maxCost = Math.max(maxCost, e.maxCost);
		}
		return new Demand(entries.size(), perSecond, maxCost);
	}

	/**
	 * The demand of several ranks. Immutable.
	 *
	 * @param ranks the number of ranks that have any
	 * @param perSecond units per second
	 * @param maxCost the largest request, in units
	 */
	record Demand(int ranks, double perSecond, double maxCost) {

		static final Demand NONE = new Demand(0, 0, 0);

	}

	private static final class Entry {

		private final DecayingRate rate;

		private double maxCost;

		Entry(DecayingRate rate) {
			this.rate = rate;
		}

	}

}
