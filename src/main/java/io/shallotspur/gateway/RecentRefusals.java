package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which workers have recently refused a reservation, and the request sizes they
 * refused. Not thread-safe; the present time is an argument.
 * <p>
 * A worker that has refused is skipped temporarily, so that many VMs do not spend their
 * time on unsuccessful attempts. It may still have memory for a clearly smaller request;
 * if every request skipped it, its memory would be partly unused while requests wait.
 * <p>
 * A request is late if it can no longer meet its latency objective.
 */
final class RecentRefusals {

	// A request is still sent to a worker that has recently refused one if it needs less
	// than this fraction of the refused memory. Request sizes vary by half of their mean,
	// so a clearly smaller request may fit; one of similar size would probably be refused
	// too, and each attempt costs a call.
	private static final double SMALLER_REQUEST_RATIO = 0.75;

	private final Map<String, Refusal> byWorker = new HashMap<>();

	/**
	 * Records a refusal.
	 * @param workerId the worker
	 * @param tokens the memory that was requested, in tokens
	 * @param blockedUntil time until which the worker is skipped for requests that are
	 * not clearly smaller than the refused one, in milliseconds
	 * @param lateBlockedUntil time until which the worker is skipped for requests that
	 * can no longer meet their latency objective, whatever their size, in milliseconds
	 * @param now the present time in milliseconds
	 */
	void recordRefusal(String workerId, int tokens, long blockedUntil, long lateBlockedUntil, long now) {
		// Removes expired refusals. The entry of a worker that has left, or has restarted
		// under a new id, would never be replaced.
		this.byWorker.values().removeIf((r) -> now >= r.lateBlockedUntil());
		Refusal previous = this.byWorker.get(workerId);
		int minTokens = (previous != null && now < previous.blockedUntil()) ? Math.min(tokens, previous.tokens())
				: tokens;
		this.byWorker.put(workerId, new Refusal(minTokens, blockedUntil, lateBlockedUntil));
	}

	/**
	 * Records that a slot has become free at a worker.
	 * @param workerId the worker
	 * @param lateBlockedUntil time until which the slot is kept for requests that can
	 * still meet their latency objective, in milliseconds
	 * @param now the present time in milliseconds
	 */
	void recordFreedSlot(String workerId, long lateBlockedUntil, long now) {
		this.byWorker.computeIfPresent(workerId, (id, r) -> new Refusal(r.tokens(), now, lateBlockedUntil));
	}

	/**
	 * Tells whether a worker may have a free slot for a request.
	 * @param workerId the worker
	 * @param tokens the memory that is needed, in tokens
	 * @param late whether the request can no longer meet its latency objective
	 * @param now the present time in milliseconds
	 * @return {@code false} if the worker is to be skipped
	 */
	boolean mayFit(String workerId, int tokens, boolean late, long now) {
		Refusal refusal = this.byWorker.get(workerId);
		if (refusal == null) {
			return true;
		}
		return late ? now >= refusal.lateBlockedUntil()
				: now >= refusal.blockedUntil() || tokens < SMALLER_REQUEST_RATIO * refusal.tokens();
	}

	/**
	 * Returns the next time at which a skipped worker may be asked again.
	 * @param now the present time in milliseconds
	 * @param latestAt the result if no worker becomes available before it, in
	 * milliseconds
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
	 * The last refusal of a worker. Immutable.
	 *
	 * @param tokens the smallest amount of memory that it refused, in tokens
	 * @param blockedUntil time until which it is skipped for requests that are not
	 * clearly smaller than the refused one, in milliseconds
	 * @param lateBlockedUntil time until which it is skipped for requests that can no
	 * longer meet their latency objective, whatever their size, in milliseconds
	 */
	private record Refusal(int tokens, long blockedUntil, long lateBlockedUntil) {

	}

}
