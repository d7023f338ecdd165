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
final class PrefillSelector {

	// Below this many tokens a prefill takes less than the call and the transfer it would
	// save, tokens.
	private static final int MIN_PROMPT_TOKENS = 300;

	// Among workers that are about as busy, one in the decode worker's hall is taken: a
	// KV cache takes twice as long between halls. In prefills that wait.
	private static final double REMOTE_TRANSFER_COST = 0.5;

	// And one in this VM's hall, as the prompt itself has to be sent there.
	private static final double REMOTE_PROMPT_COST = 0.25;

	// Breaks ties at random: VMs that all see idle workers would choose the same one.
	private static final double JITTER = 0.25;

	private PrefillSelector() {
	}

	/**
	 * Chooses.
	 * @param prompt the prompt
	 * @param prefillWorkers workers that may prefill it
	 * @param decodeWorker the decode worker that would otherwise prefill it
	 * @param wouldStall whether answers at the decode worker would be late if it did
	 * @param hall the hall of this VM
	 * @param random breaks ties
	 * @param now the present time in milliseconds
	 * @return the prefill worker, or empty if the decode worker is to prefill
	 */
	static Optional<WorkerState> select(PromptInfo prompt, List<WorkerState> prefillWorkers, WorkerState decodeWorker,
			boolean wouldStall, String hall, WorkerSelector.RandomSource random, long now) {
		if (prefillWorkers.isEmpty() || prompt.promptTokens() < MIN_PROMPT_TOKENS) {
			return Optional.empty();
		}
		// Whether any answer runs there is known to the worker only: this VM may have
		// started a moment ago.
		double decodeCost = wouldStall ? Double.MAX_VALUE : EngineStatistics.DECODE_PREFILL_SLOWDOWN * (decodeWorker.activePrefills() + 1);
		WorkerState best = null;
		double lowestCost = Double.MAX_VALUE;
		for (WorkerState candidate : prefillWorkers) {
			double prefillCost = candidate.estimatedLoad(now) + 1 + JITTER * random.next();
			double totalCost = prefillCost + hallCost(candidate, decodeWorker.info().hall(), REMOTE_TRANSFER_COST) + hallCost(candidate, hall, REMOTE_PROMPT_COST);
			if (prefillCost < decodeCost && totalCost < lowestCost) {
				lowestCost = totalCost;
				best = candidate;
			}
		}
		return Optional.ofNullable(best);
	}

	private static double hallCost(WorkerState w, String hall, double cost) {
		return w.info().hall().equals(hall) ? 0 : cost;
	}

}
