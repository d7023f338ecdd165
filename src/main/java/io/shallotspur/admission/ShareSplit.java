package io.shallotspur.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Splits a customer's share over the cells that serve it, by demand. A customer with a
 * share of 0.4 that asks one cell for three times as much as another weighs 0.3 in the
 * first and 0.1 in the second. Without the split it would weigh 0.4 in each cell, and who
 * spreads over many cells would get more than was agreed.
 * <p>
 * Each node measures its own cells and hears of the others by {@link DemandDigest}s. A
 * digest names at most a fixed number of customers, so the traffic does not grow with
 * customers; one not named counts as having no demand there, which errs towards giving it
 * more in cells where it is small. What is not heard of again expires.
 * <p>
 * Not thread-safe. Invariant: a weight is over 0 and at most the share.
 */
public final class ShareSplit {

	private static final double HALF_LIFE_MS = 5000;

	private static final double NEGLIGIBLE = 0.01;

	private static final double LEAST_PART = 0.01;

	private final int maxEntries;

	private final long expiryMs;

	private final Map<String, Map<String, Demand>> local = new HashMap<>();

	private final Map<String, Heard> heard = new HashMap<>();

	private final Map<String, Double> heardTotals = new HashMap<>();

	/**
	 * Creates a split that knows no demand.
	 * @param maxEntries the most customers that a digest names
	 * @param expiryMs for how long a digest counts, in milliseconds
	 */
	public ShareSplit(int maxEntries, long expiryMs) {
		this.maxEntries = maxEntries;
		this.expiryMs = expiryMs;
	}

	/**
	 * Notes what a customer asks of a cell of this node.
	 * @param cell the cell
	 * @param customer the customer
	 * @param engineMs the predicted cost of a request in milliseconds
	 * @param now the present time in milliseconds
	 */
	public void ask(String cell, String customer, double engineMs, long now) {
		this.local.computeIfAbsent(cell, (c) -> new HashMap<>())
			.computeIfAbsent(customer, (c) -> new Demand(now))
			.add(engineMs, now);
	}

	/**
	 * Makes the digest of a cell of this node, and forgets customers without demand.
	 * @param cell the cell
	 * @param now the present time in milliseconds
	 * @return the digest
	 */
	public DemandDigest digest(String cell, long now) {
		Map<String, Demand> m = this.local.getOrDefault(cell, new HashMap<>());
		m.values().removeIf((d) -> d.at(now) < NEGLIGIBLE);
		List<DemandDigest.Entry> l = m.entrySet()
			.stream()
			.map((e) -> new DemandDigest.Entry(e.getKey(), e.getValue().at(now)))
			.sorted(Comparator.comparingDouble(DemandDigest.Entry::demand)
				.reversed()
				.thenComparing(DemandDigest.Entry::customer))
			.limit(this.maxEntries)
			.toList();
		return new DemandDigest(cell, now, l);
	}

	/**
	 * Takes a digest of a cell of another node. It may come late, twice or out of order.
	 * @param digest the digest
	 * @param now the present time in milliseconds
	 */
	public void merge(DemandDigest digest, long now) {
		Heard old = this.heard.get(digest.cell());
		if (old != null && old.digest().measuredAt() >= digest.measuredAt()) {
			return;
		}
		if (old != null) {
			count(old.digest(), -1);
		}
		DemandDigest bounded = new DemandDigest(digest.cell(), digest.measuredAt(),
				digest.entries().subList(0, Math.min(this.maxEntries, digest.entries().size())));
		this.heard.put(digest.cell(), new Heard(bounded, now));
		count(bounded, 1);
	}

	/**
	 * Forgets a cell that this node does not own any more.
	 * @param cell the cell
	 */
	public void release(String cell) {
		this.local.remove(cell);
	}

	/**
	 * Forgets digests that were not renewed in time.
	 * @param now the present time in milliseconds
	 */
	public void expire(long now) {
		Iterator<Heard> it = this.heard.values().iterator();
		while (it.hasNext()) {
			Heard h = it.next();
			if (h.heardAt() + this.expiryMs <= now) {
				count(h.digest(), -1);
				it.remove();
			}
		}
	}

	/**
	 * Returns what a customer weighs in a cell of this node.
	 * @param cell the cell
	 * @param customer the customer
	 * @param share its share in its contract
	 * @param now the present time in milliseconds
	 * @return the weight
	 */
	public double weight(String cell, String customer, double share, long now) {
		double here = demand(cell, customer, now);
		double all = this.heardTotals.getOrDefault(customer, 0.0);
		for (String c : this.local.keySet()) {
			all += demand(c, customer, now);
		}
		if (all <= NEGLIGIBLE) {
			return share;
		}
		return share * Math.max(LEAST_PART, Math.min(1, here / all));
	}

	private double demand(String cell, String customer, long now) {
		Map<String, Demand> m = this.local.get(cell);
		Demand d = (m != null) ? m.get(customer) : null;
		return (d != null) ? d.at(now) : 0;
	}

	private void count(DemandDigest digest, int sign) {
		for (DemandDigest.Entry e : digest.entries()) {
			this.heardTotals.merge(e.customer(), sign * e.demand(), Double::sum);
			if (this.heardTotals.getOrDefault(e.customer(), 0.0) <= NEGLIGIBLE / 2) {
				this.heardTotals.remove(e.customer());
			}
		}
	}

	private record Heard(DemandDigest digest, long heardAt) {

	}

	/**
	 * An average that halves in a fixed time.
	 */
	private static final class Demand {

		private double perSecond;

		private long at;

		Demand(long now) {
			this.at = now;
		}

		void add(double engineMs, long now) {
			this.perSecond = at(now) + engineMs * 1000 * Math.log(2) / HALF_LIFE_MS;
			this.at = now;
		}

		double at(long now) {
			return this.perSecond * Math.pow(0.5, Math.max(0, now - this.at) / HALF_LIFE_MS);
		}

	}

}
