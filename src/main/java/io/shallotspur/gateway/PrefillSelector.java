package io.shallotspur.gateway;

import java.util.List;
import java.util.Optional;

import io.shallotspur.pace.PaceComparison;

/**
 * Decides whether the prompt of a request is prefilled at a separate worker, and at which
 * one. Stateless.
 * <p>
 * Designed for bursts of long prompts: a decode worker prefills at half the speed,
 * interleaved with token generation, so prompts that arrive faster than that delay each
 * other and every running stream. They are sent to prefill workers until the queues there
 * take longer; a prompt that would stall responses beyond the allowed gap waits for a
 * prefill worker in any case.
 */
final class PrefillSelector {

	// Below this number of tokens a prefill takes less time than the call and the
	// transfer that it would save.
	private static final int MIN_PROMPT_TOKENS = 300;

	// Among about equally loaded workers, one in the decode worker's hall is preferred: a
	// KV cache transfer takes twice as long between halls. In queued prefills.
	private static final double REMOTE_TRANSFER_COST = 0.5;

	// A worker in this VM's hall is preferred as well, because the prompt itself has to
	// be sent there. In queued prefills.
	private static final double REMOTE_PROMPT_COST = 0.25;

	// Breaks ties at random: VMs that all see idle workers would select the same one.
	private static final double JITTER = 0.25;

	private PrefillSelector() {
	}

	/**
	 * Selects the prefill worker for a prompt.
	 * @param prompt the prompt
	 * @param prefillWorkers workers that may prefill it
	 * @param decodeWorker the decode worker that would otherwise prefill it
	 * @param wouldStall whether responses at the decode worker would be late if it did
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
		// Only the decode worker knows whether it is generating responses: this VM may
		// have started a moment ago. It is therefore assumed that responses run there and
		// slow the prefill down.
		double decodeCost = wouldStall ? Double.MAX_VALUE : EngineStatistics.DECODE_PREFILL_SLOWDOWN
				* (decodeWorker.activePrefills() + 1) * decodeWorker.pace().slowdown(now);
		PaceComparison paces = PaceComparison.of(prefillWorkers.stream().map(WorkerState::pace).toList());
		WorkerState best = null;
		double lowestCost = Double.MAX_VALUE;
		for (WorkerState candidate : prefillWorkers) {
			double pace = paces.isUneven() ? paces.relative(candidate.pace(), now) : 1;
			double prefillCost = pace * (candidate.estimatedLoad(now) + 1) + JITTER * random.next();
			double totalCost = prefillCost + hallCost(candidate, decodeWorker.info().hall(), REMOTE_TRANSFER_COST)
					+ hallCost(candidate, hall, REMOTE_PROMPT_COST);
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
