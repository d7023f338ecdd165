package io.shallotspur.cell;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.shallotspur.admission.FairQueue;

/**
 * Selects the next queued request to prefill and its workers. Not thread-safe.
 * <p>
 * Invariant: while {@link CellFeature#RESERVATION} is enabled, a prefill starts only if a
 * decode slot is likely to be free when it finishes.
 */
final class CellDispatcher {

	private static final long RECHECK_INTERVAL_MS = 20;

	/**
	 * Cost of a millisecond of avoidable prefill relative to a millisecond of waiting.
	 */
	private static final double AVOIDABLE_PREFILL_WEIGHT = 0.3;

	/**
	 * Fraction of the declared decode slots that must be free when the KV cache of a
	 * warm-up request has been transferred, so that the request may start. It misses its
	 * targets anyway; its own slot is taken from this reserve.
	 */
	private static final double WARM_UP_SLOT_RESERVE = 0.15;

	private final CellSettings settings;

	private final CellFleet fleet;

	private final JobTable jobs;

	private final FairQueue<Job> queue;

	private final JobLifecycle lifecycle;

	/**
	 * Creates the dispatcher of a cell.
	 * @param settings the settings
	 * @param fleet the workers
	 * @param jobs the requests
	 * @param queue the queued requests
	 * @param lifecycle starts prefills
	 */
	CellDispatcher(CellSettings settings, CellFleet fleet, JobTable jobs, FairQueue<Job> queue,
			JobLifecycle lifecycle) {
		this.settings = settings;
		this.fleet = fleet;
		this.jobs = jobs;
		this.queue = queue;
		this.lifecycle = lifecycle;
	}

	/**
	 * Starts prefills until no queued request can start.
	 * @param now the current time in milliseconds
	 * @return when to call this method again if no event arrives earlier, in
	 * milliseconds; {@code Long.MAX_VALUE} if only an event can make a request startable
	 */
	long dispatch(long now) {
		if (this.queue.size() == 0 || !this.fleet.hasIdlePrefillWorker()) {
			return Long.MAX_VALUE;
		}
		SlotForecast slots = forecastSlots(now);
		PlacementSelector selector = new PlacementSelector(this.fleet, this.settings, AVOIDABLE_PREFILL_WEIGHT, now);
		Set<Job> skipped = new HashSet<>();
		boolean started = true;
		while (started && this.fleet.hasIdlePrefillWorker()) {
			started = startNext(selector, slots, skipped, now);
		}
		return (this.queue.size() > 0) ? now + RECHECK_INTERVAL_MS : Long.MAX_VALUE;
	}

	private boolean startNext(PlacementSelector selector, SlotForecast slots, Set<Job> skipped, long now) {
		Selection selection = new Selection();
		Job job = this.queue.findNext(this.settings.lookahead(), (j) -> {
			if (skipped.contains(j) || j.notBefore > now) {
				return false;
			}
			Placement p = selector.place(j, firstTokenDeadline(j));
			if (p == null) {
				Placement warmUp = placeForWarmUp(j, selector);
				selection.placement = warmUp;
				return warmUp != null && hasSlotReserve(warmUp, slots, now);
			}
			boolean slotExpected = !this.settings.isEnabled(CellFeature.RESERVATION)
					|| slots.freeSlotsAfter(p.readyAt() - now) >= 1;
			if (slotExpected && p.prefillWorker().isIdle() && p.startAt() <= now) {
				selection.placement = p;
				return true;
			}
			skipped.add(j);
			selector.recordDeferred(p);
			return false;
		});
		Placement p = selection.placement;
		if (job == null || p == null) {
			return false;
		}
		slots.takeSlot();
		this.lifecycle.startPrefill(job, p, now);
		return true;
	}

	/**
	 * Selects workers on which a request that can no longer meet its targets would warm a
	 * prefix cache.
	 * @param j the request
	 * @param selector selects the workers
	 * @return the placement, or {@code null} if there is none
	 */
	@Nullable Placement placeForWarmUp(Job j, PlacementSelector selector) {
		boolean warmUpAllowed = this.settings.isEnabled(CellFeature.WARM_UP) && j.generatedTokens == 0 && !j.suspect;
		return warmUpAllowed ? selector.placeForWarmUp(j) : null;
	}

	/**
	 * Returns whether enough decode slots are expected to be free when the KV cache of a
	 * warm-up request has been transferred. The slot that the request takes is included.
	 * @param warmUp the placement of the request
	 * @param slots the forecast of free slots
	 * @param now the current time in milliseconds
	 * @return whether the request may start
	 */
	boolean hasSlotReserve(Placement warmUp, SlotForecast slots, long now) {
		return slots.freeSlotsAfter(warmUp.readyAt() - now) >= WARM_UP_SLOT_RESERVE * this.fleet.declaredSlots();
	}

	/**
	 * Forecasts the free decode slots.
	 * @param now the current time in milliseconds
	 * @return the forecast
	 */
	SlotForecast forecastSlots(long now) {
		return new SlotForecast(this.fleet.decodeWorkers(), this.jobs.inFlightJobs(), this.jobs.minTbtTargetMs(),
				this.settings.slotConfidence(), now);
	}

	/**
	 * Returns the deadline for the first token of the next attempt of a request, assuming
	 * decode steps of 40 ms.
	 * @param j the request
	 * @return the time in milliseconds
	 */
	double firstTokenDeadline(Job j) {
		return j.firstTokenDeadline(40, this.settings.isEnabled(CellFeature.EARLY_REFUSAL));
	}

	private static final class Selection {

		private @Nullable Placement placement;

	}

}
