package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

/**
 * What is known of the requests for the engines of one upstream and of the pace at which
 * they are worked on. Immutable.
 *
 * @param samples requests that the figures rest on; at least 1
 * @param promptTokens tokens of a prompt, mean
 * @param answerTokens tokens that callers expect of an answer, mean
 * @param reservedTokens memory that is set aside for a request, in tokens, mean
 * @param prefillTokenMs time of a prefill worker for each token, in milliseconds; more
 * than 0
 * @param addedTokenMs by how much a prefill takes longer for each further token, in
 * milliseconds; 0 if that is not known
 * @param answerTokenMs time between two tokens of an answer, in milliseconds; more than 0
 * @param lengths how long answers are against what callers expect
 */
public record EngineFigures(int samples, double promptTokens, double answerTokens, double reservedTokens,
		double prefillTokenMs, double addedTokenMs, double answerTokenMs, LengthModel lengths) {

	/** A decode worker prefills at this part of the speed of a prefill worker. */
	public static final double DECODE_SLOWNESS = 2;

	/**
	 * Tells whether answers at a decode worker would stand still for too long if it
	 * prefilled a prompt between their tokens. While it does, each of its answers gets a
	 * token for each piece of the prompt, and an event takes as long as the whole
	 * prefill: all answers there become late for one prompt. What a prefill takes
	 * besides, for the call and the first token, does not hold them up.
	 * @param tokens tokens of the prompt
	 * @param eventTokens tokens of an event; 0 if that is not known
	 * @param gapMs the longest pause between events that is on time, in milliseconds; 0
	 * if any is
	 * @return whether the pause would be longer
	 */
	public boolean stalls(double tokens, int eventTokens, long gapMs) {
		double pause = DECODE_SLOWNESS * tokens * this.addedTokenMs + eventTokens * this.answerTokenMs;
		return gapMs > 0 && this.addedTokenMs > 0 && pause > gapMs;
	}

	/**
	 * Returns how long a prefill worker works on a prompt.
	 * @return the mean in milliseconds
	 */
	public double prefillMs() {
		return this.promptTokens * this.prefillTokenMs;
	}

	/**
	 * Returns how long an answer takes from its first event to its last.
	 * @return the mean in milliseconds
	 */
	public double answerMs() {
		return this.answerTokens * this.answerTokenMs;
	}

	/**
	 * Joins what two have seen, each by the number of requests it rests on.
	 * @param one some figures, or {@code null}
	 * @param other other figures
	 * @return figures that rest on the requests of both
	 */
	public static EngineFigures join(@Nullable EngineFigures one, EngineFigures other) {
		if (one == null) {
			return other;
		}
		double w = (double) one.samples / (one.samples + other.samples);
		return new EngineFigures(one.samples + other.samples, mean(w, one.promptTokens, other.promptTokens),
				mean(w, one.answerTokens, other.answerTokens), mean(w, one.reservedTokens, other.reservedTokens),
				mean(w, one.prefillTokenMs, other.prefillTokenMs), added(w, one, other),
				mean(w, one.answerTokenMs, other.answerTokenMs), one.lengths.mean(w, other.lengths));
	}

	private static double added(double weight, EngineFigures one, EngineFigures other) {
		if (one.addedTokenMs == 0 || other.addedTokenMs == 0) {
			return one.addedTokenMs + other.addedTokenMs;
		}
		return mean(weight, one.addedTokenMs, other.addedTokenMs);
	}

	private static double mean(double weight, double one, double other) {
		return weight * one + (1 - weight) * other;
	}

	/**
	 * Returns these figures as if they rested on no more than so many requests, so that
	 * newer ones can outweigh them.
	 * @param most the most requests
	 * @return figures that differ in that only
	 */
	public EngineFigures atMost(int most) {
		return (this.samples <= most) ? this : new EngineFigures(most, this.promptTokens, this.answerTokens,
				this.reservedTokens, this.prefillTokenMs, this.addedTokenMs, this.answerTokenMs, this.lengths);
	}

}
