package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * What the latest prefills took for prompts of different lengths. Not thread-safe;
 * confined to the gateway's thread.
 */
final class PrefillTimeEstimator {

	// Enough for a steady mean, few enough to follow a change of the traffic.
	private static final int WINDOW_SIZE = 64;

	// The quarter of the prefills that waited least; their time is that of the work.
	private static final double UNQUEUED_QUANTILE = 0.25;

	// A slope through fewer prefills is that of their waits in the queue.
	private static final int MIN_SAMPLES_FOR_SLOPE = 8;

	private final Deque<Sample> samples = new ArrayDeque<>();

	void add(long ms, int tokens) {
		this.samples.addLast(new Sample(Math.max(1, ms), Math.max(1, tokens)));
		if (this.samples.size() > WINDOW_SIZE) {
			this.samples.removeFirst();
		}
	}

	boolean isKnown() {
		return !this.samples.isEmpty();
	}

	/**
	 * Returns how long a worker works on a prompt: what each token adds, and what every
	 * prefill takes besides. Waits in the queue are left out; counted as work, they make
	 * prefill workers look busy right when decode workers need them.
	 * @param tokens tokens of the prompt
	 * @return milliseconds
	 */
	double estimateMs(double tokens) {
		double marginalMs = marginalTokenMs();
		if (marginalMs == 0) {
			return tokens * unqueuedQuantile(this.samples.stream().map((p) -> p.ms() / p.tokens()).sorted().toList());
		}
		double fixedMs = unqueuedQuantile(this.samples.stream().map((p) -> p.ms() - marginalMs * p.tokens()).sorted().toList());
		return Math.max(1, fixedMs + marginalMs * tokens);
	}

	private static double unqueuedQuantile(List<Double> sorted) {
		return sorted.get((int) (sorted.size() * UNQUEUED_QUANTILE));
	}

	/**
	 * Returns by how much a prefill takes longer for each further token: the median slope
	 * between any two prefills, on which those that waited in a queue have little weight.
	 * @return milliseconds; 0 if that is not known
	 */
	double marginalTokenMs() {
		if (this.samples.size() < MIN_SAMPLES_FOR_SLOPE) {
			return 0;
		}
		List<Sample> snapshot = List.copyOf(this.samples);
		double[] slopes = snapshot.stream()
			.flatMapToDouble((a) -> snapshot.stream()
				.filter((b) -> b.tokens() > a.tokens())
				.mapToDouble((b) -> (b.ms() - a.ms()) / (b.tokens() - a.tokens())))
			.sorted()
			.toArray();
		return (slopes.length > 0) ? Math.max(0, slopes[slopes.length / 2]) : 0;
	}

	private record Sample(double ms, double tokens) {

	}

}
