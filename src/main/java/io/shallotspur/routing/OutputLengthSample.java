package io.shallotspur.routing;

import java.util.Arrays;

/**
 * The latest output lengths of one kind of request. From them come the expected length
 * and the chance that a running answer ends soon. Bounded memory; old lengths are
 * overwritten. Not thread-safe.
 */
public final class OutputLengthSample {

	private static final int CAPACITY = 192;

	private static final int SORT_EVERY = 8;

	private static final double[] PRIOR_SPREAD = { 0.35, 0.6, 0.8, 0.95, 1.05, 1.2, 1.45, 1.6 };

	private final int[] ring = new int[CAPACITY];

	private int[] sorted = new int[0];

	private int count;

	private int next;

	private int unsorted;

	private double mean;

	/**
	 * Creates a sample that starts with a few lengths around a prior.
	 * @param priorTokens the length expected before anything is learnt
	 */
	public OutputLengthSample(int priorTokens) {
		for (double f : PRIOR_SPREAD) {
			add((int) Math.max(1, priorTokens * f));
		}
		sort();
	}

	/**
	 * Adds the length of a complete answer.
	 * @param tokens the length in tokens
	 */
	public void observe(int tokens) {
		add(tokens);
		this.unsorted++;
		if (this.unsorted >= SORT_EVERY) {
			sort();
		}
	}

	/**
	 * Returns the mean length.
	 * @return tokens
	 */
	public double mean() {
		return this.mean;
	}

	/**
	 * Returns how many more tokens an answer is expected to have.
	 * @param generated the tokens it has
	 * @return tokens, at least 1
	 */
	public double expectedRemaining(int generated) {
		int from = above(generated);
		int n = this.sorted.length - from;
		if (n == 0) {
			return Math.max(1, generated * 0.1);
		}
		double sum = 0;
		for (int i = from; i < this.sorted.length; i++) {
			sum += this.sorted[i] - generated;
		}
		return Math.max(1, sum / n);
	}

	/**
	 * Returns how many more tokens an answer has at least, but for a few.
	 * @param generated the tokens it has
	 * @param chance the part of answers of that length so far that have fewer, under 1
	 * @return tokens, at least 1
	 */
	public double remainingQuantile(int generated, double chance) {
		int from = above(generated);
		int n = this.sorted.length - from;
		return (n == 0) ? 1 : Math.max(1, this.sorted[from + (int) (chance * n)] - generated);
	}

	/**
	 * Returns the chance that an answer ends within the next tokens.
	 * @param generated the tokens it has
	 * @param ahead the tokens to come
	 * @return a probability
	 */
	public double endProbability(int generated, double ahead) {
		if (ahead <= 0) {
			return 0;
		}
		int alive = this.sorted.length - above(generated);
		if (alive == 0) {
			return Math.min(1, ahead / Math.max(1, generated * 0.1));
		}
		int after = this.sorted.length - above((int) (generated + ahead));
		return 1 - (double) after / alive;
	}

	private void add(int tokens) {
		this.ring[this.next] = tokens;
		this.next = (this.next + 1) % CAPACITY;
		this.count = Math.min(CAPACITY, this.count + 1);
	}

	private void sort() {
		this.sorted = Arrays.copyOf(this.ring, this.count);
		Arrays.sort(this.sorted);
		this.mean = Arrays.stream(this.sorted).average().orElse(1);
		this.unsorted = 0;
	}

	private int above(int tokens) {
		int lo = 0;
		int hi = this.sorted.length;
		while (lo < hi) {
			int mid = (lo + hi) >>> 1;
			if (this.sorted[mid] > tokens) {
				hi = mid;
			}
			else {
				lo = mid + 1;
			}
		}
		return lo;
	}

}
