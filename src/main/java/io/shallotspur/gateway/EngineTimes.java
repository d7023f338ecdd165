package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What the latest requests of this VM took at the engines of one upstream. Not
 * thread-safe; confined to the gateway's thread.
 */
public final class EngineTimes {

	// Until the first answers have shown it, ms: a prefill of 3,000 tokens
	// and a transfer.
	private static final double FIRST_LEAD_MS = 200;

	private static final double LEAD_WEIGHT = 0.05;

	// The last fifty answers or so tell how long a token takes.
	private static final double STREAMED_DECAY = 0.98;

	// Until answers have shown it: 500 tokens in 3.5 s.
	private static final double FIRST_STREAMED_MS = 3_500;

	private static final double FIRST_STREAMED_TOKENS = 500;

	// Enough for a steady mean, few enough to follow a change of the traffic.
	private static final int KEPT = 64;

	// The quarter of the prefills that waited least; their time is that of the work.
	private static final double QUICK_SHARE = 0.25;

	private final Deque<Long> prefills = new ArrayDeque<>();

	private final Deque<Decoded> decoded = new ArrayDeque<>();

	private double leadMs = FIRST_LEAD_MS;

	private double leadDeviationMs = FIRST_LEAD_MS / 4;

	private double streamedMs = FIRST_STREAMED_MS;

	private double streamedTokens = FIRST_STREAMED_TOKENS;

	void prefilled(long ms) {
		this.prefills.addLast(ms);
		if (this.prefills.size() > KEPT) {
			this.prefills.removeFirst();
		}
	}

	void firstByte(long ms) {
		this.leadDeviationMs += LEAD_WEIGHT * (Math.abs(ms - this.leadMs) - this.leadDeviationMs);
		this.leadMs += LEAD_WEIGHT * (ms - this.leadMs);
	}

	void streamed(long ms, PromptShape prompt) {
		this.streamedMs = STREAMED_DECAY * this.streamedMs + ms;
		this.streamedTokens = STREAMED_DECAY * this.streamedTokens + Math.max(1, prompt.likelyOutputTokens());
		this.decoded.addLast(new Decoded(ms, prompt.reservedTokens()));
		if (this.decoded.size() > KEPT) {
			this.decoded.removeFirst();
		}
	}

	/**
	 * Returns how long it takes from a place to the first event, prefill included, for
	 * four requests in five. A request that is given a place with less time left is
	 * likely answered late, and the place is lost to one that could be in time.
	 * @return the running mean and its mean deviation, in milliseconds
	 */
	long leadMs() {
		return (long) (this.leadMs + this.leadDeviationMs);
	}

	/**
	 * Returns how long an answer takes from its first event to its last.
	 * @param likelyTokens the caller's estimate of its tokens
	 * @return milliseconds, as long as recent answers took for each estimated token
	 */
	long answerMs(int likelyTokens) {
		return (long) (likelyTokens * this.streamedMs / this.streamedTokens);
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
