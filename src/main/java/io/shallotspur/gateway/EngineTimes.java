package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What the latest requests of this VM took at the engines of one upstream. Not
 * thread-safe; confined to the gateway's thread.
 */
public final class EngineTimes {

	// Enough for a steady mean, few enough to follow a change of the traffic.
	private static final int KEPT = 64;

	// The quarter of the prefills that waited least; their time is that of the work.
	private static final double QUICK_SHARE = 0.25;

	private final Deque<Long> prefills = new ArrayDeque<>();

	private final Deque<Decoded> decoded = new ArrayDeque<>();

	void prefilled(long ms) {
		this.prefills.addLast(ms);
		if (this.prefills.size() > KEPT) {
			this.prefills.removeFirst();
		}
	}

	void streamed(long ms, int tokens) {
		this.decoded.addLast(new Decoded(ms, tokens));
		if (this.decoded.size() > KEPT) {
			this.decoded.removeFirst();
		}
	}

	/**
	 * Returns how many requests the figures rest on.
	 * @return the lesser of the prefills and the answers seen, at most 64
	 */
	public int samples() {
		return Math.min(this.prefills.size(), this.decoded.size());
	}

	/**
	 * Returns how long a prefill worker works on one prompt, without the wait before it.
	 * @return milliseconds; 0 if there was none
	 */
	public double prefillMs() {
		long[] sorted = this.prefills.stream().mapToLong(Long::longValue).sorted().toArray();
		return (sorted.length > 0) ? sorted[(int) (sorted.length * QUICK_SHARE)] : 0;
	}

	/**
	 * Returns how long an answer takes from its first event to its last.
	 * @return the mean in milliseconds; 0 if there was none
	 */
	public double streamMs() {
		return this.decoded.stream().mapToLong(Decoded::ms).average().orElse(0);
	}

	/**
	 * Returns the memory that was set aside for a request.
	 * @return the mean in tokens; 0 if there was none
	 */
	public double tokens() {
		return this.decoded.stream().mapToInt(Decoded::tokens).average().orElse(0);
	}

	private record Decoded(long ms, int tokens) {

	}

}
