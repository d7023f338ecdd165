package io.shallotspur.record;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The record of one customer over some time, merged from all nodes. Not thread-safe while
 * it is filled.
 */
public final class CustomerRecord {

	private final String customer;

	private final SortedMap<String, SortedMap<Long, ClassCounts>> minutes = new TreeMap<>();

	private long unrecorded;

	private int unreadable;

	CustomerRecord(String customer) {
		this.customer = customer;
	}

	void add(RecordPart part, long fromMinute, long toMinute) {
		this.unrecorded += part.unrecorded();
		part.slices().forEach((k, c) -> {
			if (k.customer().equals(this.customer) && k.minute() >= fromMinute && k.minute() < toMinute) {
				this.minutes.computeIfAbsent(k.className(), (x) -> new TreeMap<>())
					.computeIfAbsent(k.minute(), (x) -> new ClassCounts())
					.merge(c);
			}
		});
	}

	void addUnreadable() {
		this.unreadable++;
	}

	/**
	 * Returns the customer.
	 * @return the name
	 */
	public String customer() {
		return this.customer;
	}

	/**
	 * Returns the counts of each minute.
	 * @return unmodifiable counts by class, then by minutes since the epoch
	 */
	public SortedMap<String, SortedMap<Long, ClassCounts>> minutes() {
		return Collections.unmodifiableSortedMap(this.minutes);
	}

	/**
	 * Returns the counts of the whole time.
	 * @return new counts by class
	 */
	public SortedMap<String, ClassCounts> totals() {
		SortedMap<String, ClassCounts> totals = new TreeMap<>();
		this.minutes.forEach((name, l) -> {
			ClassCounts sum = new ClassCounts();
			l.values().forEach(sum::merge);
			totals.put(name, sum);
		});
		return totals;
	}

	/**
	 * Returns the requests of any customer for which nodes had no room: so many of this
	 * customer's requests may be missing.
	 * @return the number of requests
	 */
	public long unrecorded() {
		return this.unrecorded;
	}

	/**
	 * Returns the values of the store that could not be read.
	 * @return the number of values
	 */
	public int unreadable() {
		return this.unreadable;
	}

}
