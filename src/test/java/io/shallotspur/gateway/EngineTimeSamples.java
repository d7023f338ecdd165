package io.shallotspur.gateway;

/**
 * Shows requests to {@link EngineTimeEstimator} as a gateway would.
 */
public final class EngineTimeSamples {

	private static final int EVENTS = 200;

	private EngineTimeSamples() {
	}

	/**
	 * Shows requests of one kind that were prefilled and go on.
	 * @param estimator what is to see them
	 * @param n how many
	 * @param promptTokens tokens of each prompt
	 * @param outputTokens tokens that are expected of each answer
	 * @param prefillMs time of each prefill, in milliseconds
	 * @param tokenMs time between two tokens, in milliseconds
	 */
	public static void recordRequests(EngineTimeEstimator estimator, int n, int promptTokens, int outputTokens, long prefillMs,
			long tokenMs) {
		PromptInfo p = new PromptInfo(promptTokens, 2 * outputTokens, outputTokens);
		for (int i = 0; i < n; i++) {
			estimator.recordRequest(p);
			estimator.recordPrefill(prefillMs, p);
		}
		for (int i = 0; i < EVENTS; i++) {
			estimator.recordEvent(10 * tokenMs, 10);
		}
	}

}
