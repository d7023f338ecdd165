package io.shallotspur.gateway;

/**
 * Shows requests to {@link EngineTimes} as a gateway would.
 */
public final class TimesSeen {

	private static final int EVENTS = 200;

	private TimesSeen() {
	}

	/**
	 * Shows requests of one kind that were prefilled and go on.
	 * @param times what is to see them
	 * @param n how many
	 * @param promptTokens tokens of each prompt
	 * @param answerTokens tokens that are expected of each answer
	 * @param prefillMs time of each prefill, in milliseconds
	 * @param tokenMs time between two tokens, in milliseconds
	 */
	public static void requests(EngineTimes times, int n, int promptTokens, int answerTokens, long prefillMs,
			long tokenMs) {
		PromptShape p = new PromptShape(promptTokens, 2 * answerTokens, answerTokens);
		for (int i = 0; i < n; i++) {
			times.asked(p);
			times.prefilled(prefillMs, p);
		}
		for (int i = 0; i < EVENTS; i++) {
			times.event(10 * tokenMs, 10);
		}
	}

}
