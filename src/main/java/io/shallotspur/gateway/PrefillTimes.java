package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * What the latest prefills took for prompts of different lengths. Not thread-safe;
 * confined to the gateway's thread.
 */
final class PrefillTimes {

	// Enough for a steady mean, few enough to follow a change of the traffic.
	private static final int KEPT = 64;

	// The quarter of the prefills that waited least; their time is that of the work.
	private static final double QUICK_SHARE = 0.25;

	// A slope through fewer prefills is that of their waits in the queue.
	private static final int LEAST_FOR_SLOPE = 8;

	private final Deque<Prefill> latest = new ArrayDeque<>();

	void add(long ms, int tokens) {
		this.latest.addLast(new Prefill(Math.max(1, ms), Math.max(1, tokens)));
		if (this.latest.size() > KEPT) {
			this.latest.removeFirst();
		}
	}

	boolean isKnown() {
		return !this.latest.isEmpty();
	}

	/**
	 * Returns how long a worker works on a prompt: what each token adds, and what every
	 * prefill takes besides. Waits in the queue are left out; counted as work, they make
	 * prefill workers look busy right when decode workers need them.
	 * @param tokens tokens of the prompt
	 * @return milliseconds
	 */
	double ms(double tokens) {
		double added = addedTokenMs();
		if (added == 0) {
			return tokens * quick(this.latest.stream().map((p) -> p.ms() / p.tokens()).sorted().toList());
		}
		double besides = quick(this.latest.stream().map((p) -> p.ms() - added * p.tokens()).sorted().toList());
		return Math.max(1, besides + added * tokens);
	}

	private static double quick(List<Double> sorted) {
		return sorted.get((int) (sorted.size() * QUICK_SHARE));
	}

	/**
	 * Returns by how much a prefill takes longer for each further token: the median slope
	 * between any two prefills, on which those that waited in a queue have little weight.
	 * @return milliseconds; 0 if that is not known
	 */
	double addedTokenMs() {
		if (this.latest.size() < LEAST_FOR_SLOPE) {
			return 0;
		}
		List<Prefill> l = List.copyOf(this.latest);
		double[] slopes = l.stream()
			.flatMapToDouble((a) -> l.stream()
				.filter((b) -> b.tokens() > a.tokens())
				.mapToDouble((b) -> (b.ms() - a.ms()) / (b.tokens() - a.tokens())))
			.sorted()
			.toArray();
		return (slopes.length > 0) ? Math.max(0, slopes[slopes.length / 2]) : 0;
	}

	private record Prefill(double ms, double tokens) {

	}

}
