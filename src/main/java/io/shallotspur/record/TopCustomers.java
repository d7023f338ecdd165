package io.shallotspur.record;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds the customers with the most requests in bounded memory (the space-saving
 * algorithm of Metwally, Agrawal and El Abbadi, 2005). Not thread-safe.
 * <p>
 * Invariant: a customer with more than one in {@code capacity} of all requests is always
 * in the table.
 */
final class TopCustomers {

	private final int capacity;

	private final Map<String, Long> counts = new HashMap<>();

	TopCustomers(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Counts a request.
	 * @param customer the customer
	 */
	void add(String customer) {
		Long n = this.counts.get(customer);
		if (n != null) {
			this.counts.put(customer, n + 1);
			return;
		}
		if (this.counts.size() < this.capacity) {
			this.counts.put(customer, 1L);
			return;
		}
		Map.Entry<String, Long> least = least();
		this.counts.remove(least.getKey());
		this.counts.put(customer, least.getValue() + 1);
	}

	/**
	 * Returns the estimated requests of a customer.
	 * @param customer the customer
	 * @return the estimate, never too low; 0 if the customer is not in the table
	 */
	long count(String customer) {
		return this.counts.getOrDefault(customer, 0L);
	}

	/**
	 * Halves all counts, so that former use is forgotten.
	 */
	void decay() {
		this.counts.replaceAll((k, v) -> v / 2);
	}

	private Map.Entry<String, Long> least() {
		return this.counts.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow();
	}

}
