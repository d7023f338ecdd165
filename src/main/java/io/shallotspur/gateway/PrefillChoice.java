package io.shallotspur.gateway;

import java.util.List;
import java.util.Optional;

/**
 * Decides whether the prompt of a request is prefilled apart, and where. Stateless.
 * <p>
 * Answers a burst of long prompts: a decode worker prefills at half the speed, between
 * the tokens of all it generates, so prompts that come faster than that make each other
 * and every running stream late. Prefill workers take them, until their own queues are
 * the longer way; a prompt so long that answers would stand still beyond what is on time
 * waits for them in any case. Read at a decode worker, prompts of 9,000 tokens held six
 * answers up for 320 to 440 ms each, where 300 ms are on time.
 */
final class PrefillChoice {

	// Below this many tokens a prefill takes less than the call and the transfer it would
	// save, tokens: 10 ms at 30 tokens a ms.
	private static final int LEAST_TOKENS = 300;

	private PrefillChoice() {
	}

	/**
	 * Chooses.
	 * @param prompt the prompt
	 * @param prefill workers that may prefill it
	 * @param decode the decode worker that would otherwise prefill it
	 * @param stalls whether answers at the decode worker would be late if it did
	 * @param random breaks ties
	 * @param now the present time in milliseconds
	 * @return the prefill worker, or empty if the decode worker is to prefill
	 */
	static Optional<WorkerState> choose(PromptShape prompt, List<WorkerState> prefill, WorkerState decode,
			boolean stalls, Placement.Random random, long now) {
		if (prefill.isEmpty() || prompt.promptTokens() < LEAST_TOKENS) {
			return Optional.empty();
		}
		WorkerState best = null;
		// Whether any answer runs there is known to the worker only: this VM may have
		// started a moment ago.
		double least = stalls ? Double.MAX_VALUE : EngineFigures.DECODE_SLOWNESS * (decode.prefilling() + 1);
		for (WorkerState p : prefill) {
			double ways = p.load(now) + 1 + random.next() / 2;
			if (ways < least) {
				least = ways;
				best = p;
			}
		}
		return Optional.ofNullable(best);
	}

}
