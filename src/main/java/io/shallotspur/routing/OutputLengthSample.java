package io.shallotspur.routing;

import java.util.Arrays;

/**
 * Sample of the most recent output lengths of one kind of request. It estimates the
 * expected length and the probability that a running response ends soon. Memory is
 * bounded: the oldest lengths are overwritten. Not thread-safe.
 */
public final class OutputLengthSample {

	private static final int CAPACITY = 192;

	private static final int SORT_INTERVAL = 8;

	private static final double[] PRIOR_LENGTH_FACTORS = { 0.35, 0.6, 0.8, 0.95, 1.05, 1.2, 1.45, 1.6 };

	private final int[] ring = new int[CAPACITY];

	private int[] sorted = new int[0];

	private int count;

	private int nextIndex;

	private int addedSinceSort;

	private double mean;

	/**
	 * Creates a sample that initially contains a few lengths around a prior estimate.
	 * @param priorTokens the length expected before any observation, in tokens
	 */
	public OutputLengthSample(int priorTokens) {
		for (double factor : PRIOR_LENGTH_FACTORS) {
			add((int) Math.max(1, priorTokens * factor));
		}
		sort();
	}

	/**
	 * Adds the length of a completed response.
	 * @param tokens the length in tokens
	 */
	public void observe(int tokens) {
		add(tokens);
		this.addedSinceSort++;
		if (this.addedSinceSort >= SORT_INTERVAL) {
			sort();
		}
	}

	/**
	 * Returns the mean length.
	 * @return the length in tokens
	 */
	public double mean() {
		return this.mean;
	}

	/**
	 * Returns the expected number of remaining tokens of a response.
	 * @param generated the number of tokens generated so far
	 * @return the number of tokens, at least 1
	 */
	public double expectedRemaining(int generated) {
		int from = firstIndexAbove(generated);
		int longerCount = this.sorted.length - from;
		if (longerCount == 0) {
			return Math.max(1, generated * 0.1);
		}
		double sum = 0;
		for (int i = from; i < this.sorted.length; i++) {
			sum += this.sorted[i] - generated;
		}
		return Math.max(1, sum / longerCount);
	}

	/**
	 * Returns a quantile of the number of remaining tokens of a response.
	 * @param generated the number of tokens generated so far
	 * @param quantile the fraction of responses longer than {@code generated} that may
	 * have fewer remaining tokens, less than 1
	 * @return the number of tokens, at least 1
	 */
	public double remainingQuantile(int generated, double quantile) {
		int from = firstIndexAbove(generated);
		int longerCount = this.sorted.length - from;
		return (longerCount == 0) ? 1 : Math.max(1, this.sorted[from + (int) (quantile * longerCount)] - generated);
	}

	/**
	 * Returns the probability that a response ends within a number of further tokens.
	 * @param generated the number of tokens generated so far
	 * @param nextTokens the number of further tokens
	 * @return the probability
	 */
	public double endProbability(int generated, double nextTokens) {
		if (nextTokens <= 0) {
			return 0;
		}
		int longerCount = this.sorted.length - firstIndexAbove(generated);
		if (longerCount == 0) {
			return Math.min(1, nextTokens / Math.max(1, generated * 0.1));
		}
		int stillRunning = this.sorted.length - firstIndexAbove((int) (generated + nextTokens));
		return 1 - (double) stillRunning / longerCount;
	}

	private void add(int tokens) {
		this.ring[this.nextIndex] = tokens;
		this.nextIndex = (this.nextIndex + 1) % CAPACITY;
		this.count = Math.min(CAPACITY, this.count + 1);
	}

	private void sort() {
		this.sorted = Arrays.copyOf(this.ring, this.count);
		Arrays.sort(this.sorted);
		this.mean = Arrays.stream(this.sorted).average().orElse(1);
		this.addedSinceSort = 0;
	}

	private int firstIndexAbove(int tokens) {
		int low = 0;
		int high = this.sorted.length;
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (this.sorted[middle] > tokens) {
				high = middle;
			}
			else {
				low = middle + 1;
			}
		}
		return low;
	}

}
