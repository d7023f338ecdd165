package io.shallotspur.cell;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.shallotspur.admission.FairQueue;

/**
 * Decides which waiting request is prefilled next, and where. Not thread-safe.
 * <p>
 * Invariant: a prefill starts only if a decode slot is likely free when it is done.
 */
final class CellDispatch {

	private static final long RECHECK_MS = 20;

	/**
	 * What a millisecond of avoidable prefill weighs against one of waiting.
	 */
	private static final double WASTE_WEIGHT = 0.3;

	/**
	 * A request that is late anyway gets none of this last part of the slots.
	 */
	private static final double SPARE_PART = 0.15;

	private final CellSettings settings;

	private final CellFleet fleet;

	private final JobTable jobs;

	private final FairQueue<Job> queue;

	private final JobFlow flow;

	/**
	 * Creates the dispatch of a cell.
	 * @param settings the settings
	 * @param fleet the workers
	 * @param jobs the requests
	 * @param queue those that wait
	 * @param flow starts prefills
	 */
	CellDispatch(CellSettings settings, CellFleet fleet, JobTable jobs, FairQueue<Job> queue, JobFlow flow) {
		this.settings = settings;
		this.fleet = fleet;
		this.jobs = jobs;
		this.queue = queue;
		this.flow = flow;
	}

	/**
	 * Starts what can be started.
	 * @param now the present time in milliseconds
	 * @return when to look again, in milliseconds; {@code Long.MAX_VALUE} if nothing
	 * waits for time alone
	 */
	long run(long now) {
		if (this.queue.size() == 0 || !this.fleet.anyIdlePrefill()) {
			return Long.MAX_VALUE;
		}
		SlotForecast slots = forecast(now);
		Placer placer = new Placer(this.fleet, this.settings, WASTE_WEIGHT, now);
		Set<Job> passed = new HashSet<>();
		boolean started = true;
		while (started && this.fleet.anyIdlePrefill()) {
			started = startOne(placer, slots, passed, now);
		}
		return (this.queue.size() > 0) ? now + RECHECK_MS : Long.MAX_VALUE;
	}

	private boolean startOne(Placer placer, SlotForecast slots, Set<Job> passed, long now) {
		Choice choice = new Choice();
		Job job = this.queue.findNext(this.settings.lookahead(), (j) -> {
			if (passed.contains(j) || j.notBefore > now) {
				return false;
			}
			Placement p = placer.place(j, firstTokenBy(j));
			if (p == null) {
				Placement late = placeLate(j, placer);
				choice.placement = late;
				return late != null && sparesRoom(late, slots, now);
			}
			boolean slot = !this.settings.isEnabled(CellFeature.RESERVATION) || slots.freeIn(p.readyAt() - now) >= 1;
			if (slot && p.worker().isIdle() && p.startAt() <= now) {
				choice.placement = p;
				return true;
			}
			passed.add(j);
			placer.passOver(p);
			return false;
		});
		Placement p = choice.placement;
		if (job == null || p == null) {
			return false;
		}
		slots.take();
		this.flow.startPrefill(job, p, now);
		return true;
	}

	/**
	 * Places a request that can no longer meet its targets.
	 * @param j the request
	 * @param placer places it
	 * @return where it would go, or {@code null} if nowhere
	 */
	@Nullable Placement placeLate(Job j, Placer placer) {
		boolean warms = this.settings.isEnabled(CellFeature.WARM_UP) && j.generated == 0 && !j.suspect;
		return warms ? placer.placeLate(j) : null;
	}

	/**
	 * Tells whether enough is free for such a request.
	 * @param late where it would go
	 * @param slots the slots that are or become free
	 * @param now the present time in milliseconds
	 * @return whether it may start
	 */
	boolean sparesRoom(Placement late, SlotForecast slots, long now) {
		return slots.freeIn(late.readyAt() - now) >= SPARE_PART * this.fleet.slots();
	}

	/**
	 * Returns the slots that are or become free.
	 * @param now the present time in milliseconds
	 * @return the forecast
	 */
	SlotForecast forecast(long now) {
		return new SlotForecast(this.fleet.decode(), this.jobs.inFlight(), this.jobs.tightestGapMs(),
				this.settings.slotConfidence(), now);
	}

	/**
	 * Returns when a request needs its first token.
	 * @param j the request
	 * @return the time in milliseconds
	 */
	double firstTokenBy(Job j) {
		return j.firstTokenBy(40, this.settings.isEnabled(CellFeature.EARLY_REFUSAL));
	}

	private static final class Choice {

		private @Nullable Placement placement;

	}

}
