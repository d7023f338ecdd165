package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Which workers have lately refused a place, and to requests of what size. Not
 * thread-safe; the present time is an argument.
 * <p>
 * A worker that has refused is left alone for a while, so that many VMs do not spend
 * their time asking. It may still have memory for a request that needs clearly less: left
 * alone by all, it would stand half empty while callers wait.
 */
final class RecentRefusals {

	// A worker that has refused a request may have memory for one that needs this part of
	// it: requests differ by half of their mean, and each step of asking costs a call.
	private static final double SMALLER_REQUEST_RATIO = 0.75;

	private final Map<String, Refusal> byWorker = new HashMap<>();

	/**
	 * Takes a refusal.
	 * @param workerId the worker
	 * @param tokens the memory that was asked for, in tokens
	 * @param blockedUntil until when the worker is left alone by requests of that size
	 * @param lateBlockedUntil until when it is left alone by those who are late
	 * @param now the present time in milliseconds
	 */
	void recordRefusal(String workerId, int tokens, long blockedUntil, long lateBlockedUntil, long now) {
		// Workers that are gone refuse no more, and start again under other names.
		this.byWorker.values().removeIf((r) -> now >= r.lateBlockedUntil());
		Refusal previous = this.byWorker.get(workerId);
		int minTokens = (previous != null && now < previous.blockedUntil()) ? Math.min(tokens, previous.tokens()) : tokens;
		this.byWorker.put(workerId, new Refusal(minTokens, blockedUntil, lateBlockedUntil));
	}

	/**
	 * Takes that a place has become free at a worker.
	 * @param workerId the worker
	 * @param lateBlockedUntil until when the place is left to those in time
	 * @param now the present time in milliseconds
	 */
	void recordFreedSlot(String workerId, long lateBlockedUntil, long now) {
		this.byWorker.computeIfPresent(workerId, (id, r) -> new Refusal(r.tokens(), now, lateBlockedUntil));
	}

	/**
	 * Tells whether a worker may have a place.
	 * @param workerId the worker
	 * @param tokens the memory that is needed, in tokens
	 * @param late whether the caller is late in any case
	 * @param now the present time in milliseconds
	 * @return {@code false} if it is to be left alone
	 */
	boolean mayFit(String workerId, int tokens, boolean late, long now) {
		Refusal refusal = this.byWorker.get(workerId);
		if (refusal == null) {
			return true;
		}
		return late ? now >= refusal.lateBlockedUntil() : now >= refusal.blockedUntil() || tokens < SMALLER_REQUEST_RATIO * refusal.tokens();
	}

	/**
	 * Returns when the next worker may be asked again.
	 * @param now the present time in milliseconds
	 * @param latestAt the answer if none is left alone until then
	 * @return a time in milliseconds, after now
	 */
	long nextRetryAt(long now, long latestAt) {
		return this.byWorker.values()
			.stream()
			.mapToLong(Refusal::blockedUntil)
			.filter((t) -> t > now)
			.reduce(latestAt, Math::min);
	}

	/**
	 * What a worker refused last. Immutable.
	 *
	 * @param tokens the least memory that it refused
	 * @param blockedUntil until when it is left alone by requests of that size
	 * @param lateBlockedUntil until when it is left alone by those who are late
	 */
	private record Refusal(int tokens, long blockedUntil, long lateBlockedUntil) {

	}

}
