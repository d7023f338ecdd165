package io.shallotspur.demo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Measured times, kept whole because there are few. Not thread-safe.
 */
final class Samples {

	private final List<Long> values = new ArrayList<>();

	void add(long ms) {
		this.values.add(ms);
	}

	int count() {
		return this.values.size();
	}

	/**
	 * Returns how often nothing could be measured in time.
	 * @return the number of negative values
	 */
	int missing() {
		return (int) this.values.stream().filter((v) -> v < 0).count();
	}

	/**
	 * Returns a quantile.
	 * @param q the quantile from 0 to 1
	 * @return the smallest value that is at least as large as that part of the values
	 */
	long quantile(double q) {
		List<Long> l = new ArrayList<>(this.values);
		Collections.sort(l);
		return l.isEmpty() ? -1 : l.get((int) Math.min(l.size() - 1, Math.max(0, Math.ceil(q * l.size()) - 1)));
	}

	String row() {
		return quantile(0.5) + " / " + quantile(0.99) + " / " + quantile(1);
	}

}
