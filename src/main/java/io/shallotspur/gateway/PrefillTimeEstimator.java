package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Estimates prefill times from the durations of recent prefills of different lengths. Not
 * thread-safe; confined to the gateway's thread.
 */
final class PrefillTimeEstimator {

	// Enough samples for a steady mean, few enough to follow a change of the traffic.
	private static final int WINDOW_SIZE = 64;

	// The quarter of the prefills with the shortest queue time; their duration is taken
	// as pure processing time.
	private static final double UNQUEUED_QUANTILE = 0.25;

	// With fewer samples the slope would reflect the queue times.
	private static final int MIN_SAMPLES_FOR_SLOPE = 8;

	private final Deque<Sample> samples = new ArrayDeque<>();

	void add(long ms, int tokens) {
		this.samples.addLast(new Sample(Math.max(1, ms), Math.max(1, tokens)));
		if (this.samples.size() > WINDOW_SIZE) {
			this.samples.removeFirst();
		}
	}

	boolean hasSamples() {
		return !this.samples.isEmpty();
	}

	/**
	 * Returns the processing time of a prompt: the time per token plus a fixed overhead.
	 * Queue times are excluded; counted as processing time, they would make prefill
	 * workers look busy just when decode workers need them.
	 * @param tokens tokens of the prompt
	 * @return milliseconds
	 */
	double estimateMs(double tokens) {
		double marginalMs = marginalTokenMs();
		if (marginalMs == 0) {
			return tokens * unqueuedQuantile(this.samples.stream().map((p) -> p.ms() / p.tokens()).sorted().toList());
		}
		double fixedMs = unqueuedQuantile(
				this.samples.stream().map((p) -> p.ms() - marginalMs * p.tokens()).sorted().toList());
		return Math.max(1, fixedMs + marginalMs * tokens);
	}

	private static double unqueuedQuantile(List<Double> sorted) {
		return sorted.get((int) (sorted.size() * UNQUEUED_QUANTILE));
	}

	/**
	 * Returns the marginal time per token: the median slope between any two prefills, on
	 * which queued prefills have little influence.
	 * @return milliseconds; 0 if it is not known
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
