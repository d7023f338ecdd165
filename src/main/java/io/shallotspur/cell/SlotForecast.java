package io.shallotspur.cell;

import java.util.Collection;

import io.shallotspur.routing.DecodeWorker;

/**
 * How many decode slots are expected to be free at the finish of a prefill. The answers
 * that run now end as the learnt lengths say; the forecast takes off some standard
 * deviations, because a prefill without a slot is wasted when its KV cache is evicted.
 * <p>
 * Computed for one moment and thrown away. Not thread-safe.
 */
final class SlotForecast {

	private static final double[] HORIZONS_MS = { 0, 250, 500, 1000, 2000, 4000 };

	private final double[] free = new double[HORIZONS_MS.length];

	/**
	 * Computes the forecast.
	 * @param workers the decode workers
	 * @param jobs all requests of the cell that are in flight
	 * @param tbtMs the tightest target for the gap between tokens
	 * @param confidence how many standard deviations to take off
	 * @param now the present time in milliseconds
	 */
	SlotForecast(Collection<DecodeWorker> workers, Collection<Job> jobs, double tbtMs, double confidence, long now) {
		double open = 0;
		for (DecodeWorker d : workers) {
			if (d.isAvailable(now)) {
				open += Math.max(0, d.freeSlots(tbtMs));
			}
		}
		double[] variance = new double[HORIZONS_MS.length];
		for (Job j : jobs) {
			if (j.stage == Stage.PREFILLING || j.stage == Stage.KV_READY) {
				open--;
			}
			if (j.stage == Stage.DECODING && j.decode != null && j.decode.isAvailable(now)) {
				add(j, j.decode.predictStepMs(j.decode.heldSlots()), variance);
			}
		}
		for (int i = 0; i < HORIZONS_MS.length; i++) {
			this.free[i] += open - confidence * Math.sqrt(variance[i]);
		}
	}

	private void add(Job job, double stepMs, double[] variance) {
		for (int i = 1; i < HORIZONS_MS.length; i++) {
			double p = job.lengths.endProbability(job.generated, HORIZONS_MS[i] / Math.max(1, stepMs));
			this.free[i] += p;
			variance[i] += p * (1 - p);
		}
	}

	/**
	 * Returns the slots that are surely enough free some time ahead.
	 * @param aheadMs how far ahead, in milliseconds
	 * @return the number of slots, a fraction or negative possibly
	 */
	double freeIn(double aheadMs) {
		int last = HORIZONS_MS.length - 1;
		if (aheadMs >= HORIZONS_MS[last]) {
			return this.free[last];
		}
		int i = 1;
		while (HORIZONS_MS[i] < aheadMs) {
			i++;
		}
		double part = (aheadMs - HORIZONS_MS[i - 1]) / (HORIZONS_MS[i] - HORIZONS_MS[i - 1]);
		return this.free[i - 1] + part * (this.free[i] - this.free[i - 1]);
	}

	// Takes one slot for a prefill that starts now.
	void take() {
		for (int i = 0; i < this.free.length; i++) {
			this.free[i]--;
		}
	}

}
