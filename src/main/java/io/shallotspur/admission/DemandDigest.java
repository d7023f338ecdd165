package io.shallotspur.admission;

import java.util.List;

/**
 * What the customers ask of one cell, as its owner tells its peers. Immutable and
 * bounded: it names the customers with the largest demand only.
 *
 * @param cell the cell
 * @param measuredAt when it was measured, in milliseconds of the owner's time; a later
 * one replaces an earlier one
 * @param entries the demands, the largest first
 */
public record DemandDigest(String cell, long measuredAt, List<Entry> entries) {

	public DemandDigest {
		entries = List.copyOf(entries);
	}

	/**
	 * The demand of one customer. Immutable.
	 *
	 * @param customer the customer
	 * @param demand engine milliseconds asked for per second
	 */
	public record Entry(String customer, double demand) {

	}

}
