package io.shallotspur.report;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

import io.shallotspur.record.ClassCounts;
import io.shallotspur.record.CustomerRecord;

/**
 * Whether the terms of one customer were kept over some time. Immutable.
 *
 * @param customer the customer
 * @param from the first instant
 * @param to the first instant that is no longer wanted
 * @param classes the classes by name
 * @param unrecorded requests of any customer that nodes had no room for
 * @param unreadable values of the store that could not be read
 */
public record TermsReport(String customer, Instant from, Instant to, List<ClassTerms> classes, long unrecorded,
		int unreadable) {

	public TermsReport {
		classes = List.copyOf(classes);
	}

	/**
	 * Makes a report.
	 * @param record the record of the customer
	 * @param from the first instant
	 * @param to the first instant that is no longer wanted
	 * @return the report
	 */
	public static TermsReport of(CustomerRecord record, Instant from, Instant to) {
		List<ClassTerms> classes = new ArrayList<>();
		SortedMap<String, ClassCounts> totals = record.totals();
		record.minutes().forEach((name, minutes) -> {
			ClassCounts total = totals.get(name);
			if (total != null) {
				classes.add(new ClassTerms(name, total, minutes));
			}
		});
		return new TermsReport(record.customer(), from, to, classes, record.unrecorded(), record.unreadable());
	}

	/**
	 * Returns whether the terms of all classes were kept.
	 * @return whether they were
	 */
	public boolean isKept() {
		return this.classes.stream().allMatch(ClassTerms::isKept);
	}

	/**
	 * Returns whether nothing is known to be missing from the record.
	 * @return whether it is complete
	 */
	public boolean isComplete() {
		return this.unrecorded == 0 && this.unreadable == 0;
	}

}
