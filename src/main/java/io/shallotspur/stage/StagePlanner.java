package io.shallotspur.stage;

/**
 * Decides how many workers of a model upstream prefill. Stateless.
 * <p>
 * Answers a lasting load of long answers: they fill the memory of the decode workers and
 * wait there, while prefill workers stand idle. The platform starts a fixed part of the
 * workers as prefill workers, whatever the traffic.
 */
final class StagePlanner {

	// What a change has to bring beside its cost, as a part of what the workers bear. A
	// worker is away for seconds while it changes over; it comes from the stage that has
	// work to spare, so little is lost meanwhile.
	private static final double LEAST_GAIN = 0.05;

	// Lengths of prompts and answers differ from request to request by about half of
	// their mean, so the mean of n requests is wrong by half / sqrt(n).
	private static final double VARIATION = 0.5;

	// A worker that changes over is away for seconds and may be needed back; each one has
	// to bring at least this part of what a worker bears on the average.
	private static final double WORTH_MOVING = 0.5;

	private StagePlanner() {
	}

	/**
	 * Returns what a change has to bring. The first few requests are enough for one that
	 * brings much, as long answers on three idle prefill workers do; a change that brings
	 * little waits until the load is known well.
	 * @param samples requests that the load was seen at; at least 1
	 * @return by what part the change has to raise what the workers bear
	 */
	static double gain(int samples) {
		return LEAST_GAIN + VARIATION / Math.sqrt(samples);
	}

	/**
	 * Decides.
	 * @param prefill prefill workers now
	 * @param decode decode workers now
	 * @param load what a request costs
	 * @param gain by what part a change has to raise what the workers bear
	 * @return how many are to prefill: the present number unless another one bears
	 * clearly more; at least one, and one is left to decode
	 */
	static int prefillWorkers(int prefill, int decode, ThroughputModel load, double gain) {
		int best = best(prefill, decode, load);
		boolean enough = load.perSecond(best, prefill + decode - best) >= (1 + gain) * load.perSecond(prefill, decode);
		return enough ? best : prefill;
	}

	private static int best(int prefill, int decode, ThroughputModel load) {
		int all = prefill + decode;
		double most = load.perSecond(prefill, decode);
		double each = WORTH_MOVING * most / all;
		int best = prefill;
		for (int p = 1; p < all; p++) {
			double value = load.perSecond(p, all - p) - each * Math.abs(p - prefill);
			if (value > most) {
				most = value;
				best = p;
			}
		}
		return best;
	}

}
