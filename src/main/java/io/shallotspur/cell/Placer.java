package io.shallotspur.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.PrefillWorker;

/**
 * Chooses workers. A prefill goes where it is done first, counting both the wait for the
 * worker and the tokens its cache saves; work that a cache elsewhere would save is
 * charged on top, because under load others wait for it too.
 * <p>
 * One placer serves one round of decisions: requests that are passed over because they
 * had better wait for a busy worker add to that worker's queue for the rest of the round.
 * Not thread-safe.
 */
final class Placer {

	/**
	 * A new request waits for the step in progress and then takes part in the next one.
	 */
	private static final double STEPS_TO_FIRST_TOKEN = 1.5;

	/**
	 * What a full decode worker weighs against an empty one, in milliseconds.
	 */
	private static final double LOAD_WEIGHT_MS = 300;

	/**
	 * A preamble not used for so long is not worth keeping.
	 */
	private static final long RECENT_MS = 20_000;

	private static final double EVICTION_WEIGHT = 0.5;

	/**
	 * The part of a late prefill that has to be of use to later requests.
	 */
	private static final double WARMING_PART = 0.6;

	private final CellFleet fleet;

	private final CellSettings settings;

	private final Map<String, Double> planned = new HashMap<>(4);

	private final double wasteFactor;

	private final long now;

	/**
	 * Starts a round.
	 * @param fleet the workers
	 * @param settings the settings
	 * @param wasteFactor how much a millisecond of avoidable prefill weighs against a
	 * millisecond of waiting
	 * @param now the present time in milliseconds
	 */
	Placer(CellFleet fleet, CellSettings settings, double wasteFactor, long now) {
		this.fleet = fleet;
		this.settings = settings;
		this.wasteFactor = wasteFactor;
		this.now = now;
	}

	/**
	 * Finds the best prefill worker.
	 * @param job the request
	 * @param firstTokenBy when its first token has to be there
	 * @return the placement, or {@code null} if no worker takes work or none is done in
	 * time
	 */
	@Nullable Placement place(Job job, double firstTokenBy) {
		DecodeWorker d = decodeWorker(job);
		if (d == null) {
			return null;
		}
		double step = STEPS_TO_FIRST_TOKEN * d.predictStepMs(d.heldSlots() + 1);
		double cheapest = Double.MAX_VALUE;
		double[] costs = new double[this.fleet.prefill().size()];
		int i = 0;
		for (PrefillWorker p : this.fleet.prefill()) {
			costs[i] = p.isDraining() ? Double.MAX_VALUE : prefillMs(p, job);
			cheapest = Math.min(cheapest, costs[i++]);
		}
		i = 0;
		Placement best = null;
		double bestScore = Double.MAX_VALUE;
		for (PrefillWorker p : this.fleet.prefill()) {
			double ms = costs[i++];
			if (p.isDraining()) {
				continue;
			}
			double start = p.expectedFreeAt(this.now) + this.planned.getOrDefault(p.id(), 0.0);
			double ready = d.predictTransferEnd(job.promptTokens(), start + ms);
			double score = start + ms + this.wasteFactor * (ms - cheapest) + evictionMs(p, job);
			if (ready + step <= firstTokenBy && score < bestScore) {
				best = new Placement(p, d, start, ms, ready);
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * Leaves a request for later, with its worker kept in mind.
	 * @param placement where it will go
	 */
	void passOver(Placement placement) {
		this.planned.merge(placement.worker().id(), placement.prefillMs(), Double::sum);
	}

	/**
	 * Returns the least time from a start at once to the first token.
	 * @param job the request
	 * @return milliseconds
	 */
	double leastMs(Job job) {
		double tail = Double.MAX_VALUE;
		for (DecodeWorker d : this.fleet.decode()) {
			if (!d.isDraining()) {
				tail = Math.min(tail, d.predictTransferMs(job.promptTokens())
						+ STEPS_TO_FIRST_TOKEN * d.predictStepMs(d.heldSlots() + 1));
			}
		}
		return cheapestMs(job) + ((tail == Double.MAX_VALUE) ? 0 : tail);
	}

	/**
	 * Finds an idle worker for a request that is late wherever it runs. Where a preamble
	 * is cached nowhere near, all its requests are late, and were they all refused, it
	 * would never get into a cache: one would notice that a whole preamble gets no
	 * answers while prefill workers idle. So one of them is run late and warms the cache
	 * for the rest.
	 * @param job the request
	 * @return the placement, or {@code null} if running it late warms no cache
	 */
	@Nullable Placement placeLate(Job job) {
		DecodeWorker d = decodeWorker(job);
		if (d == null) {
			return null;
		}
		Placement best = null;
		double bestScore = Double.MAX_VALUE;
		for (PrefillWorker p : this.fleet.prefill()) {
			if (!p.isIdle() || this.planned.containsKey(p.id())) {
				continue;
			}
			double ms = prefillMs(p, job);
			double score = ms + evictionMs(p, job);
			boolean warms = p.warmingBenefitMs(job.request.prefixBlocks()) >= WARMING_PART * ms;
			if (warms && alwaysLate(job, d, ms) && score < bestScore) {
				best = new Placement(p, d, this.now, ms, d.predictTransferEnd(job.promptTokens(), this.now + ms));
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * Chooses a decode worker to reserve a slot on. A suspect may be reserved behind one
	 * that runs: until its transfer, that one has proven harmless or crashed the worker.
	 * @param job the request
	 * @return the worker, or {@code null} if none will do
	 */
	@Nullable DecodeWorker decodeWorker(Job job) {
		return best(job, (d) -> !job.suspect || d.reservedSuspectCount() == 0);
	}

	/**
	 * Chooses a decode worker to which a transfer can start now. Transfers to one worker
	 * go one after the other: side by side each would take as long as all of them.
	 * @param job the request
	 * @param urgent whether the KV cache is about to be evicted, so that a link in use
	 * will do
	 * @return the worker, or {@code null} if none will do
	 */
	@Nullable DecodeWorker transferTarget(Job job, boolean urgent) {
		return best(job, (d) -> d.freeSlots(tbt(job)) >= 1 && (urgent || d.isLinkIdle())
				&& (!job.suspect || d.suspectCount() == 0));
	}

	private @Nullable DecodeWorker best(Job job, Predicate<DecodeWorker> fits) {
		DecodeWorker best = null;
		double bestScore = Double.MAX_VALUE;
		for (DecodeWorker d : this.fleet.decode()) {
			if (!d.isAvailable(this.now) || !fits.test(d)) {
				continue;
			}
			double load = (d.heldSlots() + d.reservedSlots() - ((job.decode == d) ? 1.5 : 0)) / d.maxRequests(tbt(job));
			double score = d.predictTransferEnd(job.promptTokens(), this.now) - this.now + LOAD_WEIGHT_MS * load;
			if (score < bestScore) {
				best = d;
				bestScore = score;
			}
		}
		return best;
	}

	// Whether the request would have been late here even if it had started on arrival.
	private static boolean alwaysLate(Job job, DecodeWorker d, double prefillMs) {
		double first = prefillMs + d.predictTransferMs(job.promptTokens())
				+ STEPS_TO_FIRST_TOKEN * d.predictStepMs(d.heldSlots() + 1);
		return job.request.arrivedAt() + first > job.dueAt();
	}

	private double evictionMs(PrefillWorker p, Job job) {
		if (!this.settings.isEnabled(CellFeature.PREFIX_SCORE)) {
			return 0;
		}
		return EVICTION_WEIGHT * p.evictionCostMs(job.request.prefixBlocks(), this.now - RECENT_MS);
	}

	private double cheapestMs(Job job) {
		double least = Double.MAX_VALUE;
		for (PrefillWorker p : this.fleet.prefill()) {
			if (!p.isDraining()) {
				least = Math.min(least, prefillMs(p, job));
			}
		}
		return (least == Double.MAX_VALUE) ? 0 : least;
	}

	private double prefillMs(PrefillWorker p, Job job) {
		if (!this.settings.isEnabled(CellFeature.PREFIX_SCORE)) {
			return p.predictPrefillMs(job.promptTokens());
		}
		boolean expected = this.settings.isEnabled(CellFeature.COALESCING);
		return p.predictPrefillMs(p.uncachedTokens(job.promptTokens(), job.request.prefixBlocks(), expected));
	}

	private static double tbt(Job job) {
		return (job.request.tbtMs() > 0) ? job.request.tbtMs() : Double.MAX_VALUE;
	}

}
