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
 * waits for them in any case.
 */
final class PrefillChoice {

	// Below this many tokens a prefill takes less than the call and the transfer it would
	// save, tokens.
	private static final int LEAST_TOKENS = 300;

	// Among workers that are about as busy, one in the decode worker's hall is taken: a
	// KV cache takes twice as long between halls. In prefills that wait.
	private static final double FAR_TRANSFER = 0.5;

	// And one in this VM's hall, as the prompt itself has to be sent there.
	private static final double FAR_PROMPT = 0.25;

	// Breaks ties at random: VMs that all see idle workers would choose the same one.
	private static final double JITTER = 0.25;

	private PrefillChoice() {
	}

	/**
	 * Chooses.
	 * @param prompt the prompt
	 * @param prefill workers that may prefill it
	 * @param decode the decode worker that would otherwise prefill it
	 * @param stalls whether answers at the decode worker would be late if it did
	 * @param hall the hall of this VM
	 * @param random breaks ties
	 * @param now the present time in milliseconds
	 * @return the prefill worker, or empty if the decode worker is to prefill
	 */
	static Optional<WorkerState> choose(PromptShape prompt, List<WorkerState> prefill, WorkerState decode,
			boolean stalls, String hall, Placement.Random random, long now) {
		if (prefill.isEmpty() || prompt.promptTokens() < LEAST_TOKENS) {
			return Optional.empty();
		}
		// Whether any answer runs there is known to the worker only: this VM may have
		// started a moment ago.
		double decodeWays = stalls ? Double.MAX_VALUE : EngineFigures.DECODE_SLOWNESS * (decode.prefilling() + 1);
		WorkerState best = null;
		double least = Double.MAX_VALUE;
		for (WorkerState p : prefill) {
			double ways = p.load(now) + 1 + JITTER * random.next();
			double cost = ways + far(p, decode.info().hall(), FAR_TRANSFER) + far(p, hall, FAR_PROMPT);
			if (ways < decodeWays && cost < least) {
				least = cost;
				best = p;
			}
		}
		return Optional.ofNullable(best);
	}

	private static double far(WorkerState w, String hall, double cost) {
		return w.info().hall().equals(hall) ? 0 : cost;
	}

}
