package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

import io.shallotspur.queueing.AskingPace;

/**
 * Tracks which workers have recently refused a reservation, and the request sizes they
 * refused. Not thread-safe; the present time is an argument.
 * <p>
 * A worker that has refused is skipped temporarily, so that many VMs do not spend their
 * time on unsuccessful attempts. It may still have memory for a clearly smaller request;
 * if every request skipped it, its memory would be partly unused while requests wait.
 * <p>
 * A request yields if others go before it, at this VM or at others: it asks such a worker
 * later than they do, whatever its size.
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
	 * @param backoffMs how long the worker is skipped for requests that are not clearly
	 * smaller than the refused one, in milliseconds
	 * @param maxYieldMs the longest time that requests yield, in milliseconds
	 * @param now the present time in milliseconds
	 */
	void recordRefusal(String workerId, int tokens, long backoffMs, long maxYieldMs, long now) {
		// Removes expired refusals. The entry of a worker that has left, or has restarted
		// under a new id, would never be replaced.
		this.byWorker.values().removeIf((r) -> now >= r.retainedUntil());
		Refusal previous = this.byWorker.get(workerId);
		int minTokens = (previous != null && now < previous.askedAgainAt(AskingPace.USUAL))
				? Math.min(tokens, previous.tokens()) : tokens;
		this.byWorker.put(workerId, new Refusal(minTokens, now, backoffMs, now + backoffMs + maxYieldMs));
	}

	/**
	 * Records that a slot has become free at a worker.
	 * @param workerId the worker
	 * @param maxYieldMs the longest time that requests yield, in milliseconds
	 * @param now the present time in milliseconds
	 */
	void recordFreedSlot(String workerId, long maxYieldMs, long now) {
		this.byWorker.computeIfPresent(workerId, (id, r) -> new Refusal(r.tokens(), now, 0, now + maxYieldMs));
	}

	/**
	 * Tells whether a worker may have a free slot for a request.
	 * @param workerId the worker
	 * @param tokens the memory that is needed, in tokens
	 * @param pace how soon the request asks again
	 * @param now the present time in milliseconds
	 * @return {@code false} if the worker is to be skipped
	 */
	boolean mayFit(String workerId, int tokens, AskingPace pace, long now) {
		Refusal refusal = this.byWorker.get(workerId);
		if (refusal == null) {
			return true;
		}
		boolean clearlySmaller = tokens < SMALLER_REQUEST_RATIO * refusal.tokens();
		return now >= refusal.askedAgainAt(pace) || (clearlySmaller && pace.yieldMs().isEmpty());
	}

	/**
	 * Returns the next time at which a skipped worker may be asked again.
	 * @param pace how soon the request that would be sent asks again
	 * @param now the present time in milliseconds
	 * @param latestAt the result if no worker becomes available before it, in
	 * milliseconds
	 * @return a time in milliseconds, after now
	 */
	long nextRetryAt(AskingPace pace, long now, long latestAt) {
		return this.byWorker.values()
			.stream()
			.mapToLong((r) -> r.askedAgainAt(pace))
			.filter((t) -> t > now)
			.reduce(latestAt, Math::min);
	}

	/**
	 * The last refusal of a worker. Immutable.
	 *
	 * @param tokens the smallest amount of memory that it refused, in tokens
	 * @param at when it refused, or when a slot became free there, in milliseconds
	 * @param backoffMs how long it is skipped for requests that are not clearly smaller
	 * than the refused one, in milliseconds
	 * @param retainedUntil time from which no request skips it, in milliseconds
	 */
	private record Refusal(int tokens, long at, long backoffMs, long retainedUntil) {

		long askedAgainAt(AskingPace pace) {
			return pace.asksAt(this.at, this.backoffMs);
		}

	}

}
