package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What the latest requests of this VM took at the engines of one upstream. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: nothing is assumed. A time that no request has shown is 0, which refuses
 * nobody. With an assumed time for a token, a VM that had just started took long answers
 * of quick engines for ones that cannot end in time, and refused them beside idle
 * workers.
 */
public final class EngineTimes {

	private static final double LEAD_WEIGHT = 0.05;

	// The last fifty answers or so tell how long a token takes.
	private static final double STREAMED_DECAY = 0.98;

	// A few hundred events: those of a handful of answers.
	private static final double EVENT_DECAY = 0.997;

	// Enough for a steady mean, few enough to follow a change of the traffic.
	private static final int KEPT = 64;

	// The quarter of the prefills that waited least; their time is that of the work.
	private static final double QUICK_SHARE = 0.25;

	private final Deque<Long> prefills = new ArrayDeque<>();

	private final Deque<Decoded> decoded = new ArrayDeque<>();

	private final DecayedRatio answers = new DecayedRatio(STREAMED_DECAY);

	private final DecayedRatio events = new DecayedRatio(EVENT_DECAY);

	private boolean leadKnown;

	private double leadMs;

	private double leadDeviationMs;

	void prefilled(long ms) {
		this.prefills.addLast(ms);
		if (this.prefills.size() > KEPT) {
			this.prefills.removeFirst();
		}
	}

	// The first one stands for itself, with half of it as its deviation, as the estimate
	// of a round trip does.
	void firstByte(long ms) {
		if (!this.leadKnown) {
			this.leadKnown = true;
			this.leadMs = ms;
			this.leadDeviationMs = ms / 2.0;
			return;
		}
		this.leadDeviationMs += LEAD_WEIGHT * (Math.abs(ms - this.leadMs) - this.leadDeviationMs);
		this.leadMs += LEAD_WEIGHT * (ms - this.leadMs);
	}

	/**
	 * Takes that an answer went on. Its pace is known long before it ends.
	 * @param ms time since its event before, in milliseconds
	 * @param tokens the tokens of an event; 0 if the operator does not say
	 */
	void event(long ms, int tokens) {
		if (tokens > 0) {
			this.events.add(ms, tokens);
		}
	}

	void streamed(long ms, PromptShape prompt) {
		this.answers.add(ms, Math.max(1, prompt.likelyOutputTokens()));
		this.decoded.addLast(new Decoded(ms, prompt.reservedTokens()));
		if (this.decoded.size() > KEPT) {
			this.decoded.removeFirst();
		}
	}

	/**
	 * Returns how long it takes from a place to the first event, prefill included, for
	 * four requests in five. A request that is given a place with less time left is
	 * likely answered late, and the place is lost to one that could be in time.
	 * @return the running mean and its mean deviation, in milliseconds; 0 before the
	 * first event
	 */
	long leadMs() {
		return (long) (this.leadMs + this.leadDeviationMs);
	}

	/**
	 * Returns how long an answer takes from its first event to its last.
	 * @param likelyTokens the caller's estimate of its tokens
	 * @return milliseconds, as long as recent answers took for each estimated token, and
	 * before one has ended as long as those that go on take; 0 if nothing was seen
	 */
	long answerMs(int likelyTokens) {
		DecayedRatio tokenMs = this.answers.isKnown() ? this.answers : this.events;
		return (long) (likelyTokens * tokenMs.value());
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
