package io.shallotspur.cell;

import java.util.EnumSet;
import java.util.Set;

/**
 * Settings of {@link StdCellScheduler}. None is a speed or a limit of an engine: those
 * are learnt or declared by the worker. Immutable.
 *
 * @param features the mechanisms that are enabled
 * @param initialPrefillMsPerToken prefill cost assumed until learnt, default 0.2 ms
 * @param initialStepMs decode step assumed until learnt, default 30 ms
 * @param initialStepMsPerRequest growth of the step per request assumed until learnt,
 * default 0.5 ms
 * @param initialOutputTokens answer length assumed until learnt, default 200
 * @param queueLimit the most requests that wait in the cell, default 1024
 * @param lookahead the most waiting requests that one decision looks at, default 64
 * @param kvExpiryMarginMs a transfer is begun at least so long before the KV cache would be
 * evicted, default 50 ms
 * @param minStallMarginMs the least patience with a transfer beyond its prediction, default
 * 60 ms
 * @param retryRatio retries earned per first try, default 0.1
 * @param minRetries retries a customer may have in ten seconds however few first tries
 * it had, default 24: the requests of one decode worker
 * @param maxAttempts the most tries of one request, default 4
 * @param slotConfidence standard deviations of doubt that a reservation allows for,
 * default 1
 * @param suspectClearTokens a suspect of one crash that generates so many tokens without
 * another is not kept apart any more, default 16
 * @param takeoverSlots the slots per decode worker that a new owner uses until the leave
 * of the old one is known, default 4
 */
public record CellSettings(Set<CellFeature> features, double initialPrefillMsPerToken, double initialStepMs,
		double initialStepMsPerRequest, int initialOutputTokens, int queueLimit, int lookahead, long kvExpiryMarginMs,
		long minStallMarginMs, double retryRatio, double minRetries, int maxAttempts, double slotConfidence,
		int suspectClearTokens, int takeoverSlots) {

	public CellSettings {
		features = Set.copyOf(features);
	}

	/**
	 * Returns the documented defaults.
	 * @return the settings
	 */
	public static CellSettings defaults() {
		return new CellSettings(CellFeature.defaults(), 0.2, 30, 0.5, 200, 1024, 64, 50, 60, 0.1, 24, 4, 1, 16, 4);
	}

	/**
	 * Returns the same settings with other features.
	 * @param features the mechanisms that are enabled
	 * @return new settings
	 */
	public CellSettings withFeatures(Set<CellFeature> features) {
		return new CellSettings(features, this.initialPrefillMsPerToken, this.initialStepMs, this.initialStepMsPerRequest,
				this.initialOutputTokens, this.queueLimit, this.lookahead, this.kvExpiryMarginMs, this.minStallMarginMs,
				this.retryRatio, this.minRetries, this.maxAttempts, this.slotConfidence, this.suspectClearTokens,
				this.takeoverSlots);
	}

	/**
	 * Returns the same settings with one feature switched off.
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
