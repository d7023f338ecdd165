package io.shallotspur.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.PrefillWorker;

/**
 * Selects prefill and decode workers. A prefill goes to the worker where it finishes
 * first, considering both the wait for the worker and the tokens in its prefix cache.
 * Prefill time that the cache of another worker would save is an additional cost, because
 * under load other requests wait for it too.
 * <p>
 * An instance serves one scheduling round: requests that are deferred to wait for a busy
 * worker add to the expected wait for that worker during the rest of the round. Not
 * thread-safe.
 */
final class PlacementSelector {

	/**
	 * Decode steps until the first token: a new request waits for the rest of the current
	 * step, half a step on average, and then takes part in the next one.
	 */
	private static final double STEPS_TO_FIRST_TOKEN = 1.5;

	/**
	 * Cost of a full decode worker compared with an empty one, in milliseconds.
	 */
	private static final double FULL_LOAD_COST_MS = 300;

	/**
	 * Cached prefixes that were not used within this time may be evicted at no cost.
	 */
	private static final long RECENT_USE_WINDOW_MS = 20_000;

	private static final double EVICTION_WEIGHT = 0.5;

	/**
	 * Minimum fraction of a warm-up prefill that must benefit later requests.
	 */
	private static final double MIN_WARM_UP_BENEFIT = 0.6;

	private final CellFleet fleet;

	private final CellSettings settings;

	private final Map<String, Double> deferredPrefillMs = new HashMap<>(4);

	private final double avoidablePrefillWeight;

	private final long now;

	/**
	 * Creates a selector for one scheduling round.
	 * @param fleet the workers
	 * @param settings the settings
	 * @param avoidablePrefillWeight cost of a millisecond of avoidable prefill relative
	 * to a millisecond of waiting
	 * @param now the current time in milliseconds
	 */
	PlacementSelector(CellFleet fleet, CellSettings settings, double avoidablePrefillWeight, long now) {
		this.fleet = fleet;
		this.settings = settings;
		this.avoidablePrefillWeight = avoidablePrefillWeight;
		this.now = now;
	}

	/**
	 * Selects the best prefill worker and a decode worker.
	 * @param job the request
	 * @param firstTokenDeadline deadline for its first token, in milliseconds
	 * @return the placement, or {@code null} if no worker is available or none meets the
	 * deadline
	 */
	@Nullable Placement place(Job job, double firstTokenDeadline) {
		DecodeWorker decodeWorker = selectDecodeWorker(job);
		if (decodeWorker == null) {
			return null;
		}
		double firstTokenMs = STEPS_TO_FIRST_TOKEN * decodeWorker.predictStepMs(decodeWorker.heldSlots() + 1);
		double minPrefillMs = Double.MAX_VALUE;
		double[] prefillMs = new double[this.fleet.prefillWorkers().size()];
		int i = 0;
		for (PrefillWorker p : this.fleet.prefillWorkers()) {
			prefillMs[i] = p.isDraining() ? Double.MAX_VALUE : predictPrefillMs(p, job);
			minPrefillMs = Math.min(minPrefillMs, prefillMs[i++]);
		}
		i = 0;
		Placement best = null;
		double bestScore = Double.MAX_VALUE;
		for (PrefillWorker p : this.fleet.prefillWorkers()) {
			double ms = prefillMs[i++];
			if (p.isDraining()) {
				continue;
			}
			double start = p.expectedFreeAt(this.now) + this.deferredPrefillMs.getOrDefault(p.id(), 0.0);
			double ready = decodeWorker.predictTransferEnd(job.promptTokens(), start + ms);
			double score = start + ms + this.avoidablePrefillWeight * (ms - minPrefillMs) + evictionCostMs(p, job);
			if (ready + firstTokenMs <= firstTokenDeadline && score < bestScore) {
				best = new Placement(p, decodeWorker, start, ms, ready);
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * Records that a request is deferred until the worker of its placement is free.
	 * @param placement the expected placement of the request
	 */
	void recordDeferred(Placement placement) {
		this.deferredPrefillMs.merge(placement.prefillWorker().id(), placement.prefillMs(), Double::sum);
	}

	/**
	 * Returns the minimum time to the first token if the prefill starts now.
	 * @param job the request
	 * @return the time in milliseconds
	 */
	double minTimeToFirstTokenMs(Job job) {
		double minAfterPrefillMs = Double.MAX_VALUE;
		for (DecodeWorker d : this.fleet.decodeWorkers()) {
			if (!d.isDraining()) {
				minAfterPrefillMs = Math.min(minAfterPrefillMs, d.predictTransferMs(job.promptTokens())
						+ STEPS_TO_FIRST_TOKEN * d.predictStepMs(d.heldSlots() + 1));
			}
		}
		return minPrefillMs(job) + ((minAfterPrefillMs == Double.MAX_VALUE) ? 0 : minAfterPrefillMs);
	}

	/**
	 * Selects an idle worker for a request that would miss its targets on every worker.
	 * If a shared prefix is too long to be prefilled within the target, all requests with
	 * that prefix are late while no available worker has it cached. If all were refused,
	 * the prefix would never be cached, and its requests would fail while prefill workers
	 * are idle. Therefore one of them runs late and warms the cache for the others.
	 * @param job the request
	 * @return the placement, or {@code null} if running the request late would warm no
	 * cache
	 */
	@Nullable Placement placeForWarmUp(Job job) {
		DecodeWorker decodeWorker = selectDecodeWorker(job);
		if (decodeWorker == null) {
			return null;
		}
		Placement best = null;
		double bestScore = Double.MAX_VALUE;
		for (PrefillWorker p : this.fleet.prefillWorkers()) {
			if (!p.isIdle() || this.deferredPrefillMs.containsKey(p.id())) {
				continue;
			}
			double ms = predictPrefillMs(p, job);
			double score = ms + evictionCostMs(p, job);
			boolean warmsCache = p.warmingBenefitMs(job.request.prefixBlocks()) >= MIN_WARM_UP_BENEFIT * ms;
			if (warmsCache && neverFeasible(job, decodeWorker, ms) && score < bestScore) {
				best = new Placement(p, decodeWorker, this.now, ms,
						decodeWorker.predictTransferEnd(job.promptTokens(), this.now + ms));
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * Selects a decode worker on which to reserve a slot. A suspect may reserve a slot on
	 * a worker that runs another suspect: by the time of the transfer, the isolation of
	 * the other one has usually ended or it has crashed the worker.
	 * @param job the request
	 * @return the worker, or {@code null} if none is eligible
	 */
	@Nullable DecodeWorker selectDecodeWorker(Job job) {
		return bestDecodeWorker(job, (d) -> !job.suspect || d.reservedSuspectCount() == 0);
	}

	/**
	 * Selects a decode worker to which a transfer can start now. Transfers to one worker
	 * run one at a time: in parallel each of them would take as long as all of them
	 * together.
	 * @param job the request
	 * @param urgent whether the KV cache is about to expire, so that a busy link is
	 * acceptable
	 * @return the worker, or {@code null} if none is eligible
	 */
	@Nullable DecodeWorker selectTransferTarget(Job job, boolean urgent) {
		return bestDecodeWorker(job, (d) -> d.freeSlots(tbtTargetMs(job)) >= 1 && (urgent || d.isLinkIdle())
				&& (!job.suspect || d.suspectCount() == 0));
	}

	private @Nullable DecodeWorker bestDecodeWorker(Job job, Predicate<DecodeWorker> eligible) {
		DecodeWorker best = null;
		double bestScore = Double.MAX_VALUE;
		for (DecodeWorker d : this.fleet.decodeWorkers()) {
			if (!d.isAvailable(this.now) || !eligible.test(d)) {
				continue;
			}
			double load = (d.heldSlots() + d.reservedSlots() - ((job.decodeWorker == d) ? 1.5 : 0))
					/ d.maxRequests(tbtTargetMs(job));
			double score = d.predictTransferEnd(job.promptTokens(), this.now) - this.now + FULL_LOAD_COST_MS * load;
			if (score < bestScore) {
				best = d;
				bestScore = score;
			}
		}
		return best;
	}

	// Returns whether the request would have been late on this worker even if it had
	// started on arrival.
	private static boolean neverFeasible(Job job, DecodeWorker d, double prefillMs) {
		double firstTokenMs = prefillMs + d.predictTransferMs(job.promptTokens())
				+ STEPS_TO_FIRST_TOKEN * d.predictStepMs(d.heldSlots() + 1);
		return job.request.arrivedAt() + firstTokenMs > job.dueAt();
	}

	private double evictionCostMs(PrefillWorker p, Job job) {
		if (!this.settings.isEnabled(CellFeature.PREFIX_SCORE)) {
			return 0;
		}
		return EVICTION_WEIGHT * p.evictionCostMs(job.request.prefixBlocks(), this.now - RECENT_USE_WINDOW_MS);
	}

	private double minPrefillMs(Job job) {
		double minMs = Double.MAX_VALUE;
		for (PrefillWorker p : this.fleet.prefillWorkers()) {
			if (!p.isDraining()) {
				minMs = Math.min(minMs, predictPrefillMs(p, job));
			}
		}
		return (minMs == Double.MAX_VALUE) ? 0 : minMs;
	}

	private double predictPrefillMs(PrefillWorker p, Job job) {
		if (!this.settings.isEnabled(CellFeature.PREFIX_SCORE)) {
			return p.predictPrefillMs(job.promptTokens());
		}
		boolean countPendingPrefills = this.settings.isEnabled(CellFeature.COALESCING);
		return p
			.predictPrefillMs(p.uncachedTokens(job.promptTokens(), job.request.prefixBlocks(), countPendingPrefills));
	}

	private static double tbtTargetMs(Job job) {
		return (job.request.tbtMs() > 0) ? job.request.tbtMs() : Double.MAX_VALUE;
	}

}
