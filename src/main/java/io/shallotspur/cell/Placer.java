package io.shallotspur.cell;

import java.util.HashMap;
import java.util.Map;

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

	private final CellFleet fleet;

	private final CellSettings settings;

	private final Map<String, Double> planned = new HashMap<>();

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
		DecodeWorker d = decodeWorker(job, 0);
		if (d == null) {
			return null;
		}
		double step = STEPS_TO_FIRST_TOKEN * d.stepMs(d.held() + 1);
		double cheapest = cheapestMs(job);
		Placement best = null;
		double bestScore = Double.MAX_VALUE;
		for (PrefillWorker p : this.fleet.prefill()) {
			if (p.leaving()) {
				continue;
			}
			double start = p.freeAt(this.now) + this.planned.getOrDefault(p.id(), 0.0);
			double ms = prefillMs(p, job);
			double ready = d.transferEnd(job.promptTokens(), start + ms);
			double score = start + ms + this.wasteFactor * (ms - cheapest);
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
			if (!d.leaving()) {
				tail = Math.min(tail, d.transferMs(job.promptTokens()) + STEPS_TO_FIRST_TOKEN * d.stepMs(d.held() + 1));
			}
		}
		return cheapestMs(job) + ((tail == Double.MAX_VALUE) ? 0 : tail);
	}

	/**
	 * Chooses a decode worker.
	 * @param job the request
	 * @param least the free slots it must have now
	 * @return the worker, or {@code null} if none will do
	 */
	@Nullable DecodeWorker decodeWorker(Job job, int least) {
		DecodeWorker best = null;
		double bestScore = Double.MAX_VALUE;
		for (DecodeWorker d : this.fleet.decode()) {
			double tbt = tbt(job);
			boolean fits = least == 0 || d.free(tbt) >= least;
			boolean apart = !job.suspect || d.suspects() - ((job.decode == d) ? 1 : 0) == 0;
			if (!d.usable(this.now) || !fits || !apart) {
				continue;
			}
			double load = (d.held() + d.reserved() - ((job.decode == d) ? 1.5 : 0)) / (double) d.limit(tbt);
			double score = d.transferEnd(job.promptTokens(), this.now) - this.now + 1000 * load;
			if (score < bestScore) {
				best = d;
				bestScore = score;
			}
		}
		return best;
	}

	private double cheapestMs(Job job) {
		double least = Double.MAX_VALUE;
		for (PrefillWorker p : this.fleet.prefill()) {
			if (!p.leaving()) {
				least = Math.min(least, prefillMs(p, job));
			}
		}
		return (least == Double.MAX_VALUE) ? 0 : least;
	}

	private double prefillMs(PrefillWorker p, Job job) {
		if (!this.settings.enabled(CellFeature.PREFIX_SCORE)) {
			return p.prefillMs(job.promptTokens());
		}
		boolean expected = this.settings.enabled(CellFeature.COALESCING);
		return p.prefillMs(p.missing(job.promptTokens(), job.request.prefixBlocks(), expected));
	}

	private static double tbt(Job job) {
		return (job.request.tbtMs() > 0) ? job.request.tbtMs() : Double.MAX_VALUE;
	}

}
