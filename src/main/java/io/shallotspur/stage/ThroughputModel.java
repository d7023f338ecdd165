package io.shallotspur.stage;

import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.route.EngineSpec;

/**
 * Estimates how many requests per second the workers of a model upstream sustain, from
 * the cost of one request. Immutable.
 *
 * @param prefillMs time that a request takes on a prefill worker, in milliseconds
 * @param decodeMs time for which a request occupies a slot of a decode worker, in
 * milliseconds
 * @param decodeSlots number of requests that a decode worker has slots and memory for at
 * once
 */
public record ThroughputModel(double prefillMs, double decodeMs, double decodeSlots) {

	private static final double MS_PER_S = 1_000;

	// At this utilization a prompt waits twice its prefill time (a queue with constant
	// service times); beyond it the first token is late.
	private static final double MAX_PREFILL_UTILIZATION = 0.8;

	/**
	 * Creates a model from observed requests.
	 * @param statistics statistics of recent requests
	 * @param engine the configuration of the engines
	 * @return the model
	 */
	static ThroughputModel of(EngineStatistics statistics, EngineSpec engine) {
		double prefill = Math.max(1, statistics.prefillMs());
		// A slot is occupied from its reservation, which precedes the prefill.
		double decode = prefill + Math.max(1, statistics.generationMs());
		return new ThroughputModel(prefill, decode, decodeSlots(engine, statistics.reservedTokens()));
	}

	private static double decodeSlots(EngineSpec engine, double tokens) {
		return Math.min(engine.slots(), engine.kvCacheTokens() / Math.max(1, tokens));
	}

	/**
	 * Returns the request rate that the workers sustain. Prompts beyond the capacity of
	 * the prefill workers are prefilled on the decode workers, which lowers their decode
	 * capacity.
	 * @param prefill number of prefill workers
	 * @param decode number of decode workers
	 * @return requests per second
	 */
	public double requestsPerSecond(int prefill, int decode) {
		double decodeRate = this.decodeSlots * MS_PER_S / this.decodeMs;
		double prefillCapacity = prefill * MAX_PREFILL_UTILIZATION * MS_PER_S / this.prefillMs;
		if (decode * decodeRate <= prefillCapacity) {
			return decode * decodeRate;
		}
		double decodePrefillS = EngineStatistics.DECODE_PREFILL_SLOWDOWN * this.prefillMs / MS_PER_S;
		return decodeRate * (decode + decodePrefillS * prefillCapacity) / (1 + decodeRate * decodePrefillS);
	}

}
