package io.shallotspur.queueing;

import java.util.OptionalLong;

/**
 * How soon a waiting request asks a worker again that has refused or has freed a slot.
 * Immutable.
 *
 * @param intervalShare the interval between its calls to a worker, as a share of the
 * usual one from 0 to 1
 * @param yieldMs how long it leaves the worker to others after that, in milliseconds;
 * empty if no request is known to go before it
 */
public record AskingPace(double intervalShare, OptionalLong yieldMs) {

	/** The pace while all requests have the same priority and can be on time. */
	public static final AskingPace USUAL = new AskingPace(1, OptionalLong.empty());

	/**
	 * Returns this pace without yielding.
	 * @return the pace
	 */
	public AskingPace withoutYielding() {
		return new AskingPace(this.intervalShare, OptionalLong.empty());
	}

	/**
	 * Returns when the request may ask a worker.
	 * @param since when the worker refused or freed a slot, in milliseconds
	 * @param intervalMs the usual interval, in milliseconds
	 * @return the time in milliseconds
	 */
	public long asksAt(long since, long intervalMs) {
		return since + (long) (this.intervalShare * intervalMs) + this.yieldMs.orElse(0);
	}

}
