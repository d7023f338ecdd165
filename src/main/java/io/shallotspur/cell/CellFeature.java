package io.shallotspur.cell;

import java.util.EnumSet;
import java.util.Set;

/**
 * Optional mechanisms of {@link StdCellScheduler}. Each can be disabled separately to
 * measure its effect. All are enabled by default unless a constant says otherwise.
 */
public enum CellFeature {

	/**
	 * A prefill starts only if a decode slot is expected to be free when it finishes.
	 * Enabled by default. If disabled, prefills start whenever a prefill worker is idle.
	 */
	RESERVATION,

	/**
	 * The selection of the prefill worker takes cached prompt blocks into account.
	 * Enabled by default. If disabled, the worker that becomes free first is used.
	 */
	PREFIX_SCORE,

	/**
	 * A request whose prefix is being prefilled on a worker waits for that prefill
	 * instead of computing the prefix again. Enabled by default. If disabled, only
	 * finished prefills count as cached.
	 */
	COALESCING,

	/**
	 * A request that can no longer meet its targets is refused immediately. Enabled by
	 * default. If disabled, it waits until its deadline.
	 */
	EARLY_REFUSAL,

	/**
	 * Customers are scheduled by weighted fair queueing on engine time. Enabled by
	 * default. If disabled, requests of equal priority start in the order of their due
	 * times.
	 */
	FAIR_QUEUEING,

	/**
	 * A request that would miss its targets on every worker still runs on an idle worker
	 * if it brings a shared prefix into that worker's cache. Enabled by default.
	 */
	WARM_UP,

	/**
	 * A transfer that makes no progress is cancelled, and the KV cache is transferred to
	 * another decode worker. Enabled by default.
	 */
	STALL_DETECTION,

	/**
	 * Requests that were running on a crashed worker are placed on different workers
	 * until the request that causes the crashes is identified. Enabled by default.
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
