package io.shallotspur.admission;

import java.util.List;

/**
 * The demand of customers on one cell, as the owner of the cell reports it to its peers.
 * Immutable and bounded: it contains only the customers with the largest demand.
 *
 * @param cell the cell
 * @param measuredAt time of the measurement, in milliseconds of the owner's clock; a
 * digest with a later time replaces an earlier one
 * @param entries the demand by customer, in descending order
 */
public record DemandDigest(String cell, long measuredAt, List<Entry> entries) {

	public DemandDigest {
		entries = List.copyOf(entries);
	}

	/**
	 * The demand of one customer. Immutable.
	 *
	 * @param customer the customer
	 * @param demand the requested engine time, in milliseconds per second
	 */
	public record Entry(String customer, double demand) {

	}

}
