package io.shallotspur.cell;

import java.util.EnumSet;
import java.util.Set;

/**
 * Settings of {@link StdCellScheduler}. Speeds and limits of engines are not settings:
 * they are measured at runtime or declared by the worker. Immutable.
 *
 * @param features the mechanisms that are enabled
 * @param initialPrefillMsPerToken prefill cost assumed until measured, default 0.2 ms
 * @param initialStepMs duration of a decode step assumed until measured, default 30 ms
 * @param initialStepMsPerRequest increase of the step duration per request in the batch
 * assumed until measured, default 0.5 ms
 * @param initialOutputTokens answer length in tokens assumed until measured, default 200
 * @param queueLimit maximum number of queued requests in the cell, default 1024
 * @param lookahead maximum number of queued requests that one scheduling decision
 * examines, default 64
 * @param kvExpiryMarginMs a KV cache counts as expired this long before its worker evicts
 * it, default 50 ms
 * @param minStallMarginMs minimum time by which a transfer must exceed its predicted
 * duration to count as stalled, default 60 ms
 * @param retryRatio retries allowed per first attempt, default 0.1
 * @param minRetries retries that a customer is always allowed in ten seconds, regardless
 * of its number of first attempts; default 24, so that as many requests of one customer
 * that are lost in the crash of a decode worker can all be retried
 * @param maxAttempts maximum number of attempts per request, default 4
 * @param slotConfidence number of standard deviations that the forecast of free slots
 * subtracts from the expected value, default 1
 * @param isolationTokens number of tokens after which the isolation of a suspect of a
 * single crash ends at the latest if no further crash occurs, default 16
 * @param takeoverSlots slots per decode worker that a new owner uses until the former
 * owner is known to have stopped, default 4
 */
public record CellSettings(Set<CellFeature> features, double initialPrefillMsPerToken, double initialStepMs,
		double initialStepMsPerRequest, int initialOutputTokens, int queueLimit, int lookahead, long kvExpiryMarginMs,
		long minStallMarginMs, double retryRatio, double minRetries, int maxAttempts, double slotConfidence,
		int isolationTokens, int takeoverSlots) {

	public CellSettings {
		features = Set.copyOf(features);
	}

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static CellSettings defaults() {
		return new CellSettings(CellFeature.defaults(), 0.2, 30, 0.5, 200, 1024, 64, 50, 60, 0.1, 24, 4, 1, 16, 4);
	}

	/**
	 * Returns a copy with other features.
	 * @param features the mechanisms that are enabled
	 * @return new settings
	 */
	public CellSettings withFeatures(Set<CellFeature> features) {
		return new CellSettings(features, this.initialPrefillMsPerToken, this.initialStepMs,
				this.initialStepMsPerRequest, this.initialOutputTokens, this.queueLimit, this.lookahead,
				this.kvExpiryMarginMs, this.minStallMarginMs, this.retryRatio, this.minRetries, this.maxAttempts,
				this.slotConfidence, this.isolationTokens, this.takeoverSlots);
	}

	/**
	 * Returns a copy with one feature disabled.
	 * @param feature the mechanism to disable
	 * @return new settings
	 */
	public CellSettings without(CellFeature feature) {
		EnumSet<CellFeature> set = EnumSet.noneOf(CellFeature.class);
		set.addAll(this.features);
		set.remove(feature);
		return withFeatures(set);
	}

	/**
	 * Returns whether a feature is enabled.
	 * @param feature the mechanism
	 * @return whether it is enabled
	 */
	public boolean isEnabled(CellFeature feature) {
		return this.features.contains(feature);
	}

}
