package io.shallotspur.cell;

import java.util.Collection;

import io.shallotspur.routing.DecodeWorker;

/**
 * Forecast of the free decode slots at the end of a prefill. The completions of running
 * requests are predicted from the measured output lengths. The forecast subtracts a
 * number of standard deviations, because a prefill that finds no slot is wasted when its
 * KV cache is evicted.
 * <p>
 * A forecast is valid for one point in time. Not thread-safe.
 */
final class SlotForecast {

	private static final double[] HORIZONS_MS = { 0, 250, 500, 1000, 2000, 4000 };

	private final double[] freeSlots = new double[HORIZONS_MS.length];

	/**
	 * Computes the forecast.
	 * @param workers the decode workers
	 * @param jobs all requests of the cell that are in flight
	 * @param tbtMs the smallest TBT target of the requests in flight, in milliseconds
	 * @param confidence number of standard deviations to subtract
	 * @param now the current time in milliseconds
	 */
	SlotForecast(Collection<DecodeWorker> workers, Collection<Job> jobs, double tbtMs, double confidence, long now) {
		double freeNow = 0;
		for (DecodeWorker d : workers) {
			if (d.isAvailable(now)) {
				freeNow += Math.max(0, d.freeSlots(tbtMs));
			}
		}
		double[] variance = new double[HORIZONS_MS.length];
		for (Job j : jobs) {
			if (j.stage == JobStage.PREFILLING || j.stage == JobStage.KV_READY) {
				freeNow--;
			}
			if (j.stage == JobStage.DECODING && j.decodeWorker != null && j.decodeWorker.isAvailable(now)) {
				addExpectedCompletions(j, j.decodeWorker.predictStepMs(j.decodeWorker.heldSlots()), variance);
			}
		}
		for (int i = 0; i < HORIZONS_MS.length; i++) {
			this.freeSlots[i] += freeNow - confidence * Math.sqrt(variance[i]);
		}
	}

	private void addExpectedCompletions(Job job, double stepMs, double[] variance) {
		for (int i = 1; i < HORIZONS_MS.length; i++) {
			double endProbability = job.outputLengths.endProbability(job.generatedTokens,
					HORIZONS_MS[i] / Math.max(1, stepMs));
			this.freeSlots[i] += endProbability;
			variance[i] += endProbability * (1 - endProbability);
		}
	}

	/**
	 * Returns the number of slots that are free after the given time, at the configured
	 * confidence. Interpolates linearly between the horizons.
	 * @param aheadMs the time from now, in milliseconds
	 * @return the number of slots; may be fractional or negative
	 */
	double freeSlotsAfter(double aheadMs) {
		int last = HORIZONS_MS.length - 1;
		if (aheadMs >= HORIZONS_MS[last]) {
			return this.freeSlots[last];
		}
		int i = 1;
		while (HORIZONS_MS[i] < aheadMs) {
			i++;
		}
		double fraction = (aheadMs - HORIZONS_MS[i - 1]) / (HORIZONS_MS[i] - HORIZONS_MS[i - 1]);
		return this.freeSlots[i - 1] + fraction * (this.freeSlots[i] - this.freeSlots[i - 1]);
	}

	// Subtracts one slot for a prefill that starts now.
	void takeSlot() {
		for (int i = 0; i < this.freeSlots.length; i++) {
			this.freeSlots[i]--;
		}
	}

}
