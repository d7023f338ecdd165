package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.shallotspur.queueing.Contention;
import io.shallotspur.queueing.LowerPriorityTurns;
import io.shallotspur.queueing.PriorityDemand;
import io.shallotspur.queueing.ServiceOrder;
import io.shallotspur.queueing.YieldPolicy;

/**
 * The queue of requests of one model upstream that wait for a slot and memory at a decode
 * worker. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Designed for bursts of twice the load that the decode workers' memory can hold. Each VM
 * sees only its own requests, so none knows whether a worker has capacity; a request that
 * is sent to a full worker is refused, its prefill is lost, and a route with one attempt
 * has no other. So a slot is reserved first: only the worker counts its slots exactly.
 * Requests that get none wait here and not inside a worker, where an urgent one could not
 * overtake the others.
 * <p>
 * {@link ServiceOrder} decides who is served first. Late requests, and requests of a
 * lower priority, leave workers that have refused or freed a slot to others for a while
 * ({@link YieldPolicy}), but one start in eight goes to a lower priority.
 * <p>
 * When a request of this VM ends, its worker is called at once, since a slot has just
 * become free there; otherwise a worker that has refused is skipped temporarily
 * ({@link RecentRefusals}).
 */
final class ReservationQueue {

	// A worker with 10 slots and responses of 3 s frees a slot every 300 ms; calling it
	// more often than that is mostly unsuccessful, ms.
	private static final long FULL_BACKOFF_MS = 150;

	// Interval between calls while all workers are full, ms. With 100 workers and 100
	// VMs, each VM would otherwise make 270 calls a second and spend its CPU time and
	// theirs on refusals.
	private static final long SATURATED_INTERVAL_MS = 25;

	// Consecutive refusals after which all workers are considered full. Up to this number
	// of workers, the backoff alone keeps the rate below that of the interval.
	private static final int SATURATION_REFUSALS = 6;

	// Concurrent reservation calls; the round trip to a worker takes 2 ms.
	private static final int MAX_CONCURRENT_CALLS = 4;

	// Minimum queue limit, in requests, for few slots. Otherwise the limit is the number
	// of slots of the workers: each is freed once in the time of a response, and no
	// request waits longer.
	private static final int MIN_QUEUE_LIMIT = 64;

	// Noted where a request yields to such that may wait at other VMs.
	private static final String OTHER_VMS = "other-vms";

	private final Gateway gateway;

	private final String upstream;

	private final Set<ReservationTicket> queue = new LinkedHashSet<>();

	private final RecentRefusals recentRefusals = new RecentRefusals();

	private final PriorityDemand demand = new PriorityDemand();

	private final YieldPolicy yieldPolicy = new YieldPolicy(this.demand);

	private final LowerPriorityTurns lowerPriorityTurns = new LowerPriorityTurns();

	private long lastSequence;

	// Requests with a reservation call in progress.
	private final Set<ReservationTicket> inFlight = new HashSet<>();

	private int consecutiveRefusals;

	private long nextAttemptAt;

	private Runnable cancelTimer = () -> {
	};

	ReservationQueue(Gateway gateway, String upstream) {
		this.gateway = gateway;
		this.upstream = upstream;
	}

	/**
	 * Adds a request.
	 * @param request the request
	 * @param now the present time in milliseconds
	 * @return its ticket
	 */
	ReservationTicket enqueue(PendingRequest request, long now) {
		ReservationTicket ticket = new ReservationTicket(request, ++this.lastSequence, now);
		this.queue.add(ticket);
		this.demand.recordArrival(ticket.priority(), now);
		if (this.queue.size() > MIN_QUEUE_LIMIT && this.queue.size() > request.slots(now)) {
			rejectLast(now);
		}
		dispatch(now);
		return ticket;
	}

	// Rejects the request that would wait longest, not the newest arrival, which may be
	// first.
	private void rejectLast(long now) {
		List<ReservationTicket> ordered = ServiceOrder.of(this.queue, now);
		ReservationTicket last = ordered.get(ordered.size() - 1);
		cancel(last);
		last.request().onRejected(now);
	}

	/**
	 * Removes a request; if a reservation call is in progress, its reservation is
	 * released.
	 * @param ticket its ticket
	 */
	void cancel(ReservationTicket ticket) {
		ticket.close();
		this.queue.remove(ticket);
	}

	/**
	 * Handles the end of a request of this VM at a worker.
	 * @param worker the worker
	 * @param now the present time in milliseconds
	 */
	void capacityFreed(String worker, long now) {
		this.recentRefusals.recordFreedSlot(worker, YieldPolicy.maxMs(servingVms(now)), now);
		this.nextAttemptAt = now;
		dispatch(now);
	}

	/**
	 * Rejects the requests that no worker may be sent in time, because all have left,
	 * asked for pauses, have a rate limit or cannot be reached.
	 * @param now the present time in milliseconds
	 */
	void rejectUnservable(long now) {
		Set<Optional<String>> servable = new HashSet<>();
		for (ReservationTicket ticket : new ArrayList<>(this.queue)) {
			// A worker that may be sent one of them may be sent the others that require
			// the same version.
			Optional<String> version = ticket.request().requiredVersion();
			if (servable.contains(version)) {
				continue;
			}
			boolean noPath = ticket.request().hasNoPath(now);
			if (!noPath && !ticket.request().candidates(now).isEmpty()) {
				servable.add(version);
				continue;
			}
			long waitMs = ticket.request().sendWaitMs(now);
			if (noPath || waitMs > ticket.request().waitDeadline() - now) {
				cancel(ticket);
				ticket.request().onRejected(now);
			}
		}
	}

	private void dispatch(long now) {
		updateTickets(now);
		while (this.inFlight.size() < MAX_CONCURRENT_CALLS && now >= this.nextAttemptAt) {
			Optional<ReservationAttempt> attempt = nextAttempt(now);
			if (attempt.isEmpty()) {
				rejectUnservable(now);
				break;
			}
			this.queue.remove(attempt.get().ticket());
			if (this.consecutiveRefusals >= SATURATION_REFUSALS
					&& attempt.get().candidateCount() > SATURATION_REFUSALS) {
				this.nextAttemptAt = now + (long) (intervalShare(attempt.get().ticket(), now) * SATURATED_INTERVAL_MS);
			}
			requestReservation(attempt.get().ticket(), attempt.get().worker(), now);
		}
		scheduleDispatch(now);
	}

	private Optional<ReservationAttempt> nextAttempt(long now) {
		List<ReservationTicket> ordered = ServiceOrder.of(this.queue, now);
		Contention<ReservationTicket> contention = new Contention<>(this.queue, this.inFlight);
		return lowerPriorityAttempt(ordered, now)
			.or(() -> ordered.stream().flatMap((t) -> attempt(t, contention, now).stream()).findFirst());
	}

	private Optional<ReservationAttempt> lowerPriorityAttempt(List<ReservationTicket> ordered, long now) {
		if (!this.lowerPriorityTurns.isDue()) {
			return Optional.empty();
		}
		return ServiceOrder.firstOfLowerPriority(ordered)
			.flatMap((t) -> attempt(t, t.request().candidates(now), OptionalLong.empty(), now));
	}

	private Optional<ReservationAttempt> attempt(ReservationTicket ticket, Contention<ReservationTicket> contention,
			long now) {
		Optional<ReservationTicket> timely = contention.holdsBack(ticket);
		if (timely.isPresent()) {
			ticket.yieldTo(timely.get().request().id());
			return Optional.empty();
		}
		List<WorkerState> candidates = ticket.request().candidates(now);
		OptionalLong yieldMs = this.yieldPolicy.delayMs(ticket, contention, servingVms(now), now);
		Optional<ReservationAttempt> attempt = attempt(ticket, candidates, yieldMs, now);
		if (yieldMs.isPresent() && attempt.isEmpty()
				&& !eligible(ticket, candidates, OptionalLong.empty(), now).isEmpty()) {
			ticket.yieldTo(contention.higherThan(ticket).map((t) -> t.request().id()).orElse(OTHER_VMS));
		}
		return attempt;
	}

	private Optional<ReservationAttempt> attempt(ReservationTicket ticket, List<WorkerState> candidates,
			OptionalLong yieldMs, long now) {
		return WorkerSelector
			.leastCost(eligible(ticket, candidates, yieldMs, now), this.gateway.settings.hall(), this.gateway.random,
					now)
			.map((w) -> new ReservationAttempt(ticket, w, candidates.size()));
	}

	private List<WorkerState> eligible(ReservationTicket ticket, List<WorkerState> candidates, OptionalLong yieldMs,
			long now) {
		int tokens = ticket.request().requiredTokens();
		double intervalShare = intervalShare(ticket, now);
		return candidates.stream()
			.filter((w) -> this.recentRefusals.mayFit(w.info().id(), tokens, intervalShare, yieldMs, now))
			.toList();
	}

	// Rejects expired requests and marks those that have become late.
	private void updateTickets(long now) {
		for (ReservationTicket ticket : new ArrayList<>(this.queue)) {
			if (now >= ticket.request().waitDeadline()) {
				cancel(ticket);
				ticket.request().onRejected(now);
			}
			else if (!ticket.isLate() && now > ticket.request().latestStart()) {
				ticket.markLate();
			}
		}
	}

	private void requestReservation(ReservationTicket ticket, WorkerState worker, long now) {
		int tokens = ticket.request().requiredTokens();
		this.inFlight.add(ticket);
		worker.requestStarted();
		boolean direct = this.gateway.paths.isDirect(worker);
		worker.limit().reserve();
		this.gateway.workerPort.reserve(worker.info(), tokens, ticket.request().reservationMs(),
				new ReservationListener() {

					@Override
					public void onStatus(WorkerStatus status) {
						ReservationQueue.this.gateway.updateWorkerStatus(worker, status, now);
					}

					@Override
					public void onReserved(String reservation) {
						recordResponse(worker, direct);
						onResponse(ticket, worker, tokens, reservation, null);
					}

					@Override
					public void onNoCapacity() {
						recordResponse(worker, direct);
						onResponse(ticket, worker, tokens, null, null);
					}

					@Override
					public void onInstanceReplaced() {
						ReservationQueue.this.gateway.roster.instanceReplaced(worker.info().id(), WorkerStage.DECODE,
								ReservationQueue.this.gateway.clock.getAsLong());
						onResponse(ticket, worker, tokens, null, null);
					}

					@Override
					public void onFailure(ExchangeFailure failure) {
						onResponse(ticket, worker, tokens, null, failure);
					}

				});
	}

	private void recordResponse(WorkerState worker, boolean direct) {
		this.gateway.paths.recordResponse(worker, direct, this.gateway.clock.getAsLong());
	}

	private void onResponse(ReservationTicket ticket, WorkerState worker, int tokens, @Nullable String reservation,
			@Nullable ExchangeFailure failure) {
		long now = this.gateway.clock.getAsLong();
		this.inFlight.remove(ticket);
		worker.requestEnded();
		if (reservation != null) {
			this.consecutiveRefusals = 0;
			onReserved(ticket, worker, reservation, now);
		}
		else {
			this.consecutiveRefusals++;
			worker.limit().releaseReservation();
			onRefused(worker, tokens, failure, now);
			if (!ticket.isClosed()) {
				this.queue.add(ticket);
			}
		}
		dispatch(now);
	}

	private void onReserved(ReservationTicket ticket, WorkerState worker, String reservation, long now) {
		if (ticket.isClosed()) {
			worker.limit().releaseReservation();
			this.gateway.notices.cancelReservation(worker.info(), reservation);
			return;
		}
		this.lowerPriorityTurns.recordStart();
		ticket.close();
		recordWait(ticket, now);
		ticket.request().onReserved(worker, reservation, now);
	}

	// Only where priorities compete, as elsewhere the order follows from the arrivals.
	private void recordWait(ReservationTicket ticket, long now) {
		long waitedMs = now - ticket.enqueuedAt();
		if (waitedMs == 0 || !this.demand.hasSeveralPriorities(now)) {
			return;
		}
		boolean yielded = !ticket.yieldedTo().isEmpty();
		this.gateway.metrics.queued(ticket.priority(), waitedMs, yielded);
		ticket.request()
			.log("queued queued-ms=" + waitedMs + " priority=" + ticket.priority() + " late=" + ticket.isLate()
					+ " waiting=" + this.queue.size() + (yielded ? " yielded-to=" + ticket.yieldedTo() : ""), now);
	}

	private void onRefused(WorkerState worker, int tokens, @Nullable ExchangeFailure failure, long now) {
		long backoffMs = (long) (FULL_BACKOFF_MS * (0.75 + this.gateway.random.next() / 2));
		this.recentRefusals.recordRefusal(worker.info().id(), tokens, backoffMs, YieldPolicy.maxMs(servingVms(now)),
				now);
		if (failure != null) {
			this.gateway.roster.outlierDetector(this.upstream).recordFailure(worker.info().id(), now);
			worker.recordOutcome(true);
			this.gateway.paths.reservationFailed(worker, failure, now);
		}
	}

	private long nextRetryAt(long now) {
		long retryAt = this.recentRefusals.nextRetryAt(1, 0, now, now + FULL_BACKOFF_MS);
		if (!this.demand.hasSeveralPriorities(now)) {
			return retryAt;
		}
		Contention<ReservationTicket> contention = new Contention<>(this.queue, this.inFlight);
		Set<Integer> seen = new HashSet<>();
		for (ReservationTicket ticket : this.queue) {
			if (seen.add(ticket.priority())) {
				long yieldMs = this.yieldPolicy.delayMs(ticket, contention, servingVms(now), now).orElse(0);
				retryAt = this.recentRefusals.nextRetryAt(intervalShare(ticket, now), yieldMs, now, retryAt);
			}
		}
		return retryAt;
	}

	private double intervalShare(ReservationTicket ticket, long now) {
		return this.yieldPolicy.intervalShare(ticket.priority(), now);
	}

	private int servingVms(long now) {
		return this.gateway.entryVms.servingCountOwnRegion(now);
	}

	private void scheduleDispatch(long now) {
		this.cancelTimer.run();
		if (this.queue.isEmpty()) {
			return;
		}
		long wakeAt = nextRetryAt(now);
		for (ReservationTicket ticket : this.queue) {
			wakeAt = Math.min(wakeAt, ticket.request().waitDeadline());
		}
		if (this.nextAttemptAt > now && this.inFlight.size() < MAX_CONCURRENT_CALLS) {
			wakeAt = Math.min(wakeAt, this.nextAttemptAt);
		}
		this.cancelTimer = this.gateway.timer.schedule(Math.max(1, wakeAt - now),
				() -> dispatch(this.gateway.clock.getAsLong()));
	}

	/**
	 * The next reservation call: the request, the worker to call and the number of
	 * candidates.
	 */
	private record ReservationAttempt(ReservationTicket ticket, WorkerState worker, int candidateCount) {

	}

}
