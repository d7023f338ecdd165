package io.shallotspur.queueing;

import java.util.OptionalLong;

/**
 * How long a waiting request leaves capacity that has just become free, or a worker that
 * has just refused, to the requests that go before it at other VMs. Not thread-safe.
 * <p>
 * Each VM orders its own requests only; in a burst, capacity that becomes free would go
 * to whichever VM asks first. A request that goes first nowhere therefore asks later: by
 * one or two of the intervals at which those that go before it ask.
 * <p>
 * Invariants: a request of the highest priority that can be on time yields nothing;
 * capacity stays free for at most {@link #maxMs} in favour of other VMs, and for nothing
 * if there are none. The delay of a lower priority is in proportion to the demand of the
 * higher ones, as capacity that they do not use stays unused for so long.
 */
public final class YieldPolicy {

	// Twice the interval at which other VMs ask a full worker again, ms.
	private static final long LATE_MS = 300;

	// The interval at which other VMs ask a full worker again, ms. On average they ask in
	// half of it, so that a longer delay would mostly leave capacity unused.
	private static final long LOWER_PRIORITY_MS = 150;

	// Capacity is kept for this multiple of the demand, so that an urgent request seldom
	// needs more than one attempt.
	private static final double HEADROOM = 2;

	// An urgent request asks up to five times as often. The shortest interval is then
	// 5 ms, of which the round trip to a worker takes 2 ms.
	private static final double MIN_INTERVAL_SHARE = 0.2;

	private final PriorityDemand demand;

	/**
	 * Creates a policy.
	 * @param demand the recent arrivals of this VM
	 */
	public YieldPolicy(PriorityDemand demand) {
		this.demand = demand;
	}

	/**
	 * Returns the upper bound of all delays.
	 * @param servingVms the number of VMs that serve callers, this one included
	 * @return milliseconds
	 */
	public static long maxMs(int servingVms) {
		return betweenVms(LATE_MS, servingVms);
	}

	/**
	 * Returns how soon a request asks workers again.
	 * @param request the request
	 * @param contention the requests that wait at this VM
	 * @param servingVms the number of VMs that serve callers, this one included
	 * @param now the present time in milliseconds
	 * @return the pace, the same for all late requests of a priority, and for all others
	 * of it
	 */
	public AskingPace pace(WaitingRequest request, Contention<?> contention, int servingVms, long now) {
		return new AskingPace(intervalShare(request.priority(), now), delayMs(request, contention, servingVms, now));
	}

	/**
	 * Returns how long a request yields.
	 * @param request the request
	 * @param contention the requests that wait at this VM
	 * @param servingVms the number of VMs that serve callers, this one included
	 * @param now the present time in milliseconds
	 * @return milliseconds; empty if no request is known to go before it
	 */
	public OptionalLong delayMs(WaitingRequest request, Contention<?> contention, int servingVms, long now) {
		boolean higherWaits = contention.higherThan(request).isPresent();
		double higher = higherWaits ? 1 : inProportion(this.demand.shareAbove(request.priority(), now));
		long delayMs = (long) (higher * betweenVms(LOWER_PRIORITY_MS, servingVms));
		if (request.isLate()) {
			double timely = inProportion(this.demand.shareAtOrAbove(request.priority(), now));
			return OptionalLong.of(Math.max(delayMs, (long) (timely * betweenVms(LATE_MS, servingVms))));
		}
		return (higher > 0) ? OptionalLong.of(delayMs) : OptionalLong.empty();
	}

	/**
	 * Returns the share of the usual interval after which a request asks workers again.
	 * The fewer requests have its priority or a higher one, the more often each of them
	 * may ask without more calls in total. Where many VMs serve callers, the VM that asks
	 * first gets a slot that becomes free, and this alone gives the urgent requests
	 * precedence.
	 * @param priority the priority of the request; 0 is the highest
	 * @param now the present time in milliseconds
	 * @return from 0.2 to 1; 1 if all recent arrivals had this priority or a higher one
	 */
	public double intervalShare(int priority, long now) {
		return Math.max(MIN_INTERVAL_SHARE, this.demand.shareAtOrAbove(priority, now));
	}

	private static double inProportion(double share) {
		return Math.min(1, HEADROOM * share);
	}

	// In proportion to the share of callers that are served by other VMs.
	private static long betweenVms(long ms, int servingVms) {
		return ms - ms / servingVms;
	}

}
