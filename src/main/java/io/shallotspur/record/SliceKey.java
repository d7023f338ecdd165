package io.shallotspur.record;

import java.util.Comparator;

/**
 * Names what one set of counts is about. Immutable.
 *
 * @param customer the customer
 * @param className the class in the customer's contract
 * @param minute minutes since the epoch
 */
public record SliceKey(String customer, String className, long minute) implements Comparable<SliceKey> {

	private static final Comparator<SliceKey> ORDER = Comparator.comparing(SliceKey::customer)
		.thenComparing(SliceKey::className)
		.thenComparingLong(SliceKey::minute);

	@Override
	public int compareTo(SliceKey other) {
		return ORDER.compare(this, other);
	}

}
