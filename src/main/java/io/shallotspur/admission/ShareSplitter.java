package io.shallotspur.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Splits a customer's share over the cells that serve it, in proportion to its demand on
 * each. A customer with a share of 0.4 and three times as much demand on one cell as on
 * another has weight 0.3 in the first and 0.1 in the second. Without the split it would
 * have weight 0.4 in each, and a customer whose requests are spread over many cells would
 * get more than its contract grants.
 * <p>
 * Each node measures the demand on its own cells and receives that on other cells as
 * {@link DemandDigest}s. A digest contains a bounded number of customers, so that the
 * traffic does not grow with the number of customers. A customer missing from it counts
 * as having no demand on that cell, which errs towards a higher weight in other cells.
 * Digests that are not renewed expire.
 * <p>
 * Not thread-safe. Invariant: a weight is greater than 0 and at most the share.
 */
public final class ShareSplitter {

	private static final double NEGLIGIBLE_DEMAND = 0.01;

	private static final double MIN_FRACTION = 0.01;

	private final int maxEntries;

	private final long expiryMs;

	private final Map<String, Map<String, DecayingRate>> localDemand = new HashMap<>();

	private final Map<String, ReceivedDigest> remoteDigests = new HashMap<>();

	private final Map<String, Double> remoteTotals = new HashMap<>();

	/**
	 * Creates a splitter without any demand.
	 * @param maxEntries the maximum number of customers in a digest
	 * @param expiryMs how long a received digest is valid, in milliseconds
	 */
	public ShareSplitter(int maxEntries, long expiryMs) {
		this.maxEntries = maxEntries;
		this.expiryMs = expiryMs;
	}

	/**
	 * Records a customer's request to a cell of this node.
	 * @param cell the cell
	 * @param customer the customer
	 * @param engineMs the predicted cost of the request, in milliseconds of engine time
	 * @param now the current time in milliseconds
	 */
	public void recordDemand(String cell, String customer, double engineMs, long now) {
		this.localDemand.computeIfAbsent(cell, (key) -> new HashMap<>())
			.computeIfAbsent(customer, (key) -> new DecayingRate(now))
			.add(engineMs, now);
	}

	/**
	 * Creates the digest of a cell of this node and removes customers with negligible
	 * demand.
	 * @param cell the cell
	 * @param now the current time in milliseconds
	 * @return the digest
	 */
	public DemandDigest digest(String cell, long now) {
		Map<String, DecayingRate> byCustomer = this.localDemand.getOrDefault(cell, new HashMap<>());
		byCustomer.values().removeIf((rate) -> rate.valueAt(now) < NEGLIGIBLE_DEMAND);
		List<DemandDigest.Entry> entries = byCustomer.entrySet()
			.stream()
			.map((entry) -> new DemandDigest.Entry(entry.getKey(), entry.getValue().valueAt(now)))
			.sorted(Comparator.comparingDouble(DemandDigest.Entry::demand)
				.reversed()
				.thenComparing(DemandDigest.Entry::customer))
			.limit(this.maxEntries)
			.toList();
		return new DemandDigest(cell, now, entries);
	}

	/**
	 * Merges a digest of a cell of another node. Digests may arrive late, repeatedly or
	 * out of order.
	 * @param digest the digest
	 * @param now the current time in milliseconds
	 */
	public void merge(DemandDigest digest, long now) {
		ReceivedDigest previous = this.remoteDigests.get(digest.cell());
		if (previous != null && previous.digest().measuredAt() >= digest.measuredAt()) {
			return;
		}
		if (previous != null) {
			updateTotals(previous.digest(), -1);
		}
		DemandDigest bounded = new DemandDigest(digest.cell(), digest.measuredAt(),
				digest.entries().subList(0, Math.min(this.maxEntries, digest.entries().size())));
		this.remoteDigests.put(digest.cell(), new ReceivedDigest(bounded, now));
		updateTotals(bounded, 1);
	}

	/**
	 * Removes a cell that this node no longer owns.
	 * @param cell the cell
	 */
	public void removeCell(String cell) {
		this.localDemand.remove(cell);
	}

	/**
	 * Removes digests that were not renewed in time.
	 * @param now the current time in milliseconds
	 */
	public void removeExpired(long now) {
		Iterator<ReceivedDigest> iterator = this.remoteDigests.values().iterator();
		while (iterator.hasNext()) {
			ReceivedDigest received = iterator.next();
			if (received.receivedAt() + this.expiryMs <= now) {
				updateTotals(received.digest(), -1);
				iterator.remove();
			}
		}
	}

	/**
	 * Returns the weight of a customer in a cell of this node.
	 * @param cell the cell
	 * @param customer the customer
	 * @param share the share in the customer's contract
	 * @param now the current time in milliseconds
	 * @return the weight
	 */
	public double weight(String cell, String customer, double share, long now) {
		double cellDemand = demand(cell, customer, now);
		double totalDemand = this.remoteTotals.getOrDefault(customer, 0.0);
		for (String localCell : this.localDemand.keySet()) {
			totalDemand += demand(localCell, customer, now);
		}
		if (totalDemand <= NEGLIGIBLE_DEMAND) {
			return share;
		}
		return share * Math.max(MIN_FRACTION, Math.min(1, cellDemand / totalDemand));
	}

	private double demand(String cell, String customer, long now) {
		Map<String, DecayingRate> byCustomer = this.localDemand.get(cell);
		DecayingRate rate = (byCustomer != null) ? byCustomer.get(customer) : null;
		return (rate != null) ? rate.valueAt(now) : 0;
	}

	private void updateTotals(DemandDigest digest, int sign) {
		for (DemandDigest.Entry entry : digest.entries()) {
			this.remoteTotals.merge(entry.customer(), sign * entry.demand(), Double::sum);
			if (this.remoteTotals.getOrDefault(entry.customer(), 0.0) <= NEGLIGIBLE_DEMAND / 2) {
				this.remoteTotals.remove(entry.customer());
			}
		}
	}

	private record ReceivedDigest(DemandDigest digest, long receivedAt) {

	}

}
