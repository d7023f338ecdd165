package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Statistics about the requests for the engines of one upstream and about their
 * processing speed. Immutable.
 *
 * @param samples number of requests behind the statistics; at least 1
 * @param promptTokens mean number of tokens of a prompt
 * @param outputTokens mean number of output tokens that callers expect
 * @param reservedTokens mean memory reserved for a request, in tokens
 * @param prefillTokenMs time of a prefill worker per token, in milliseconds; more than 0
 * @param marginalTokenMs additional prefill time for each further token, in milliseconds;
 * 0 if it is not known
 * @param outputTokenMs time between two output tokens, in milliseconds; more than 0
 * @param lengthModel relation of output lengths to the lengths that callers expect
 */
public record EngineStatistics(int samples, double promptTokens, double outputTokens, double reservedTokens,
		double prefillTokenMs, double marginalTokenMs, double outputTokenMs, OutputLengthModel lengthModel) {

	/**
	 * Factor by which a prefill takes longer at a decode worker than at a prefill worker.
	 */
	public static final double DECODE_PREFILL_SLOWDOWN = 2;

	/**
	 * Tells whether responses at a decode worker would stall for too long if it prefilled
	 * a prompt between their tokens. During the prefill each response gets one token per
	 * chunk of the prompt, so an event takes as long as the whole prefill and all
	 * responses there become late for one prompt. The fixed overhead of a prefill, for
	 * the call and the first token, does not delay them.
	 * @param tokens tokens of the prompt
	 * @param eventTokens tokens of an event; 0 if that is not known
	 * @param maxGapMs the longest allowed gap between events, in milliseconds; 0 for no
	 * limit
	 * @return whether the gap would be longer
	 */
	public boolean wouldStall(double tokens, int eventTokens, long maxGapMs) {
		double pause = DECODE_PREFILL_SLOWDOWN * tokens * this.marginalTokenMs + eventTokens * this.outputTokenMs;
		return maxGapMs > 0 && this.marginalTokenMs > 0 && pause > maxGapMs;
	}

	/**
	 * Returns the processing time of a prompt at a prefill worker.
	 * @return the mean in milliseconds
	 */
	public double prefillMs() {
		return this.promptTokens * this.prefillTokenMs;
	}

	/**
	 * Returns the time from the first event of a response to its last.
	 * @return the mean in milliseconds
	 */
	public double generationMs() {
		return this.outputTokens * this.outputTokenMs;
	}

	/**
	 * Merges two sets of statistics, weighted by their numbers of samples.
	 * @param first some statistics, or {@code null}
	 * @param second other statistics
	 * @return statistics of the requests of both
	 */
	public static EngineStatistics merge(@Nullable EngineStatistics first, EngineStatistics second) {
		if (first == null) {
			return second;
		}
		double firstWeight = (double) first.samples / (first.samples + second.samples);
		return new EngineStatistics(first.samples + second.samples,
				weightedMean(firstWeight, first.promptTokens, second.promptTokens),
				weightedMean(firstWeight, first.outputTokens, second.outputTokens),
				weightedMean(firstWeight, first.reservedTokens, second.reservedTokens),
				weightedMean(firstWeight, first.prefillTokenMs, second.prefillTokenMs),
				mergeMarginalTokenMs(firstWeight, first, second),
				weightedMean(firstWeight, first.outputTokenMs, second.outputTokenMs),
				first.lengthModel.weightedMean(firstWeight, second.lengthModel));
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
	 * Returns these statistics with a reduced number of samples, so that newer ones can
	 * outweigh them.
	 * @param maxSamples the largest number of samples
	 * @return statistics that differ in that only
	 */
	public EngineStatistics limitSamples(int maxSamples) {
		return (this.samples <= maxSamples) ? this
				: new EngineStatistics(maxSamples, this.promptTokens, this.outputTokens, this.reservedTokens,
						this.prefillTokenMs, this.marginalTokenMs, this.outputTokenMs, this.lengthModel);
	}

}
