package io.shallotspur.stage;

/**
 * Plans how many workers of a model upstream run the prefill stage. Stateless.
 * <p>
 * The platform starts a fixed fraction of the workers as prefill workers, regardless of
 * the traffic. Under a sustained load of long responses, requests then fill the memory of
 * the decode workers and wait there while prefill workers are idle. The planner moves
 * workers to the stage that limits the throughput.
 */
final class StagePlanner {

	// Minimum throughput gain of a new split, as a fraction. A worker is unavailable for
	// seconds while it changes stage; it comes from the stage with spare capacity, so
	// little throughput is lost in that time.
	private static final double MIN_GAIN = 0.05;

	// Lengths of prompts and responses deviate by about half of their mean, so the
	// relative error of the mean of n requests is 0.5 / sqrt(n).
	private static final double LENGTH_VARIATION = 0.5;

	// A worker is unavailable for seconds while it changes stage and may be needed back
	// later, so each move must gain at least this fraction of the mean throughput per
	// worker.
	private static final double MIN_GAIN_PER_MOVE = 0.5;

	private StagePlanner() {
	}

	/**
	 * Returns the throughput gain that a new split must reach. A large gain, such as that
	 * for long responses with three idle prefill workers, is accepted after the first few
	 * requests; a small gain is accepted only once the load is known precisely.
	 * @param samples number of requests that the load estimate is based on; at least 1
	 * @return the required gain, as a fraction of the current throughput
	 */
	static double requiredGain(int samples) {
		return MIN_GAIN + LENGTH_VARIATION / Math.sqrt(samples);
	}

	/**
	 * Plans the number of prefill workers.
	 * @param prefill the current number of prefill workers
	 * @param decode the current number of decode workers
	 * @param throughput the throughput model of the upstream
	 * @param requiredGain the throughput gain that a new split must reach, as a fraction
	 * @return the planned number of prefill workers: the current number unless another
	 * split reaches the required gain; at least one worker remains in each stage
	 */
	static int prefillWorkers(int prefill, int decode, ThroughputModel throughput, double requiredGain) {
		int best = bestPrefillWorkers(prefill, decode, throughput);
		boolean reachesGain = throughput.requestsPerSecond(best, prefill + decode - best) >= (1 + requiredGain)
				* throughput.requestsPerSecond(prefill, decode);
		return reachesGain ? best : prefill;
	}

	private static int bestPrefillWorkers(int prefill, int decode, ThroughputModel throughput) {
		int workers = prefill + decode;
		double bestValue = throughput.requestsPerSecond(prefill, decode);
		double costPerMove = MIN_GAIN_PER_MOVE * bestValue / workers;
		int best = prefill;
		for (int p = 1; p < workers; p++) {
			double value = throughput.requestsPerSecond(p, workers - p) - costPerMove * Math.abs(p - prefill);
			if (value > bestValue) {
				bestValue = value;
				best = p;
			}
		}
		return best;
	}

}
