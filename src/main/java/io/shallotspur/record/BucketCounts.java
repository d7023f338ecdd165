package io.shallotspur.record;

import java.util.Arrays;

import org.HdrHistogram.Histogram;

/**
 * The used buckets of an HdrHistogram of microseconds with two digits. A minute of one
 * class uses some tens of the thousands of buckets, and writing a packed histogram goes
 * through all of them; this goes through the used ones. Not thread-safe.
 * <p>
 * Invariant: {@code values} holds the lowest values of buckets in rising order.
 */
final class BucketCounts {

	private static final int DIGITS = 2;

	private static final int FIRST_BUCKETS = 8;

	/**
	 * Only its scale is used, which never changes.
	 */
	private static final Histogram SCALE = newHistogram();

	private long[] values = new long[FIRST_BUCKETS];

	private long[] counts = new long[FIRST_BUCKETS];

	private int size;

	void add(long micros, long count) {
		long v = SCALE.lowestEquivalentValue(micros);
		int i = Arrays.binarySearch(this.values, 0, this.size, v);
		if (i >= 0) {
			this.counts[i] += count;
		}
		else {
			insert(-i - 1, v, count);
		}
	}

	void merge(BucketCounts other) {
		for (int i = 0; i < other.size; i++) {
			add(other.values[i], other.counts[i]);
		}
	}

	int size() {
		return this.size;
	}

	long value(int i) {
		return this.values[i];
	}

	long count(int i) {
		return this.counts[i];
	}

	Histogram toHistogram() {
		Histogram h = newHistogram();
		for (int i = 0; i < this.size; i++) {
			h.recordValueWithCount(this.values[i], this.counts[i]);
		}
		return h;
	}

	private void insert(int i, long value, long count) {
		if (this.size == this.values.length) {
			this.values = Arrays.copyOf(this.values, 2 * this.size);
			this.counts = Arrays.copyOf(this.counts, 2 * this.size);
		}
		System.arraycopy(this.values, i, this.values, i + 1, this.size - i);
		System.arraycopy(this.counts, i, this.counts, i + 1, this.size - i);
		this.values[i] = value;
		this.counts[i] = count;
		this.size++;
	}

	private static Histogram newHistogram() {
		return new Histogram(DIGITS);
	}

}
