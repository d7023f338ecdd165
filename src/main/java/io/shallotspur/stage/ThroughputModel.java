package io.shallotspur.stage;

import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.route.EngineSpec;

/**
 * What one request costs the engines of a model upstream. Immutable.
 *
 * @param prefillMs time of a prefill worker, in milliseconds
 * @param decodeMs time for which it occupies a place at a decode worker, in milliseconds
 * @param places requests that a decode worker has memory and slots for at once
 */
public record ThroughputModel(double prefillMs, double decodeMs, double places) {

	private static final double MS_PER_S = 1_000;

	// Busier than this, a prompt waits twice as long as its prefill takes (a queue with
	// steady service times), and the first token is late.
	private static final double PREFILL_BUSY = 0.8;

	/**
	 * Returns the load that was seen.
	 * @param seen the requests and their pace
	 * @param engine the engines
	 * @return the load
	 */
	static ThroughputModel of(EngineStatistics seen, EngineSpec engine) {
		double prefill = Math.max(1, seen.prefillMs());
		// A place is occupied from its reservation on, which comes before the prefill.
		double decode = prefill + Math.max(1, seen.generationMs());
		return new ThroughputModel(prefill, decode, places(engine, seen.reservedTokens()));
	}

	private static double places(EngineSpec engine, double tokens) {
		return Math.min(engine.slots(), engine.kvCacheTokens() / Math.max(1, tokens));
	}

	/**
	 * Returns how many requests a second the workers can answer. What the prefill workers
	 * cannot take is prefilled at the decode workers, whose time it costs.
	 * @param prefill prefill workers
	 * @param decode decode workers
	 * @return requests a second
	 */
	public double perSecond(int prefill, int decode) {
		double each = this.places * MS_PER_S / this.decodeMs;
		double apart = prefill * PREFILL_BUSY * MS_PER_S / this.prefillMs;
		if (decode * each <= apart) {
			return decode * each;
		}
		double lost = EngineStatistics.DECODE_PREFILL_SLOWDOWN * this.prefillMs / MS_PER_S;
		return each * (decode + lost * apart) / (1 + each * lost);
	}

}
