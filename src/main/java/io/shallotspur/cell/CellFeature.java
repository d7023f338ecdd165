package io.shallotspur.cell;

import java.util.EnumSet;
import java.util.Set;

/**
 * Mechanisms of {@link StdCellScheduler} that can be switched off one by one, to measure
 * what each is worth. All are enabled by default, but where a constant says otherwise.
 */
public enum CellFeature {

	/**
	 * A prefill starts only if a decode slot is expected to be free for it when it is
	 * done. Enabled by default. If disabled, prefills start whenever a prefill worker is
	 * idle.
	 */
	RESERVATION,

	/**
	 * The choice of the prefill worker counts the prompt blocks its cache holds. Enabled
	 * by default. If disabled, the worker that is free first is taken.
	 */
	PREFIX_SCORE,

	/**
	 * A request whose preamble is just being read waits for that prefill instead of
	 * reading it a second time. Enabled by default. If disabled, only finished prefills
	 * count as cached.
	 */
	COALESCING,

	/**
	 * A request that can no longer meet its targets is refused at once. Enabled by
	 * default. If disabled, it waits until its deadline.
	 */
	EARLY_REFUSAL,

	/**
	 * Customers are served by weighted fair queueing on engine time. Enabled by default.
	 * If disabled, requests of one priority start in the order of their due times.
	 */
	FAIR_QUEUEING,

	/**
	 * A request that is late wherever it runs is run on an idle worker all the same, if
	 * that brings a shared preamble into its cache. Enabled by default.
	 */
	WARM_UP,

	/**
	 * A transfer that makes no progress is given up and sent to another decode worker.
	 * Enabled by default.
	 */
	STALL_DETECTION,

	/**
	 * Requests that ran on a crashed worker are kept apart from one another until the one
	 * that crashes workers is known. Enabled by default.
	 */
	CRASH_ISOLATION;

	/**
	 * Returns the features that are enabled by default.
	 * @return a new set
	 */
	public static Set<CellFeature> defaults() {
		return EnumSet.allOf(CellFeature.class);
	}

}
