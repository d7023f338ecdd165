package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

/**
 * What is known of the requests for the engines of one upstream and of the pace at which
 * they are worked on. Immutable.
 *
 * @param samples requests that the figures rest on; at least 1
 * @param promptTokens tokens of a prompt, mean
 * @param outputTokens tokens that callers expect of an answer, mean
 * @param reservedTokens memory that is set aside for a request, in tokens, mean
 * @param prefillTokenMs time of a prefill worker for each token, in milliseconds; more
 * than 0
 * @param marginalTokenMs by how much a prefill takes longer for each further token, in
 * milliseconds; 0 if that is not known
 * @param outputTokenMs time between two tokens of an answer, in milliseconds; more than 0
 * @param lengthModel how long answers are against what callers expect
 */
public record EngineStatistics(int samples, double promptTokens, double outputTokens, double reservedTokens,
		double prefillTokenMs, double marginalTokenMs, double outputTokenMs, OutputLengthModel lengthModel) {

	/** A decode worker prefills at this part of the speed of a prefill worker. */
	public static final double DECODE_PREFILL_SLOWDOWN = 2;

	/**
	 * Tells whether answers at a decode worker would stand still for too long if it
	 * prefilled a prompt between their tokens. While it does, each of its answers gets a
	 * token for each piece of the prompt, and an event takes as long as the whole
	 * prefill: all answers there become late for one prompt. What a prefill takes
	 * besides, for the call and the first token, does not hold them up.
	 * @param tokens tokens of the prompt
	 * @param eventTokens tokens of an event; 0 if that is not known
	 * @param maxGapMs the longest pause between events that is on time, in milliseconds; 0
	 * if any is
	 * @return whether the pause would be longer
	 */
	public boolean wouldStall(double tokens, int eventTokens, long maxGapMs) {
		double pause = DECODE_PREFILL_SLOWDOWN * tokens * this.marginalTokenMs + eventTokens * this.outputTokenMs;
		return maxGapMs > 0 && this.marginalTokenMs > 0 && pause > maxGapMs;
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
	public double generationMs() {
		return this.outputTokens * this.outputTokenMs;
	}

	/**
	 * Joins what two have seen, each by the number of requests it rests on.
	 * @param first some figures, or {@code null}
	 * @param second other figures
	 * @return figures that rest on the requests of both
	 */
	public static EngineStatistics merge(@Nullable EngineStatistics first, EngineStatistics second) {
		if (first == null) {
			return second;
		}
		double firstWeight = (double) first.samples / (first.samples + second.samples);
		return new EngineStatistics(first.samples + second.samples, weightedMean(firstWeight, first.promptTokens, second.promptTokens),
				weightedMean(firstWeight, first.outputTokens, second.outputTokens), weightedMean(firstWeight, first.reservedTokens, second.reservedTokens),
				weightedMean(firstWeight, first.prefillTokenMs, second.prefillTokenMs), mergeMarginalTokenMs(firstWeight, first, second),
				weightedMean(firstWeight, first.outputTokenMs, second.outputTokenMs), first.lengthModel.weightedMean(firstWeight, second.lengthModel));
	}

	private static double mergeMarginalTokenMs(double firstWeight, EngineStatistics first, EngineStatistics second) {
		if (first.marginalTokenMs == 0 || second.marginalTokenMs == 0) {
			return first.marginalTokenMs + second.marginalTokenMs;
		}
		return weightedMean(firstWeight, first.marginalTokenMs, second.marginalTokenMs);
	}

	private static double weightedMean(double firstWeight, double first, double second) {
		return firstWeight * first + (1 - firstWeight) * second;
	}

	/**
	 * Returns these figures as if they rested on no more than so many requests, so that
	 * newer ones can outweigh them.
	 * @param maxSamples the most requests
	 * @return figures that differ in that only
	 */
	public EngineStatistics limitSamples(int maxSamples) {
		return (this.samples <= maxSamples) ? this : new EngineStatistics(maxSamples, this.promptTokens, this.outputTokens,
				this.reservedTokens, this.prefillTokenMs, this.marginalTokenMs, this.outputTokenMs, this.lengthModel);
	}

}
