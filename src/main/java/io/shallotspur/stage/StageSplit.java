package io.shallotspur.stage;

/**
 * Decides how many workers of a model upstream prefill. Stateless.
 * <p>
 * Answers a lasting load of long answers: they fill the memory of the decode workers and
 * wait there, while prefill workers stand idle. The platform starts a fixed part of the
 * workers as prefill workers, whatever the traffic.
 */
final class StageSplit {

	/**
	 * What a change has to bring when the load was measured: more than figures from a few
	 * dozen requests can be wrong by.
	 */
	static final double MEASURED_GAIN = 0.1;

	/**
	 * What a change has to bring before any request has come.
	 */
	static final double ASSUMED_GAIN = 0.15;

	// A worker that changes over is away for seconds and may be needed back; each one has
	// to bring at least this part of what a worker bears on the average.
	private static final double WORTH_MOVING = 0.5;

	private StageSplit() {
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
	static int prefillWorkers(int prefill, int decode, StageLoad load, double gain) {
		int all = prefill + decode;
		double now = load.perSecond(prefill, decode);
		double each = WORTH_MOVING * now / all;
		int best = prefill;
		double most = now;
		for (int p = 1; p < all; p++) {
			double r = load.perSecond(p, all - p);
			double value = r - each * Math.abs(p - prefill);
			if (r >= now * (1 + gain) && value > most) {
				most = value;
				best = p;
			}
		}
		return best;
	}

}
