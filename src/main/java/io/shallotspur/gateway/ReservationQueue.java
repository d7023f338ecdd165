package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.shallotspur.queueing.ServiceOrder;
import io.shallotspur.queueing.StartRate;
import io.shallotspur.queueing.WaitForecast;
import io.shallotspur.queueing.WaitForecast.Unservable;

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

	private final Gateway gateway;

	private final String upstream;

	private final Set<ReservationTicket> queue = new LinkedHashSet<>();

	private final StartRate startRate = new StartRate();

	private final WorkerChoice choice;

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
		this.choice = new WorkerChoice(gateway);
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
		this.choice.recordArrival(ticket, now);
		if (this.queue.size() > MIN_QUEUE_LIMIT && this.queue.size() > request.slots(now)) {
			rejectLast(now);
		}
		if (this.choice.hasSeveralPriorities(now)) {
			rejectUnservableInTime(now);
		}
		dispatch(now);
		return ticket;
	}

	private void rejectUnservableInTime(long now) {
		this.startRate.setWaiting(true, now);
		OptionalDouble perSecond = this.startRate.perSecond(now);
		if (perSecond.isEmpty()) {
			return;
		}
		List<ReservationTicket> ordered = ServiceOrder.of(this.queue, now);
		for (Unservable<ReservationTicket> u : WaitForecast.unservable(ordered, perSecond.getAsDouble(), now)) {
			cancel(u.request());
			PendingRequest request = u.request().request();
			this.gateway.metrics.unservable(request.rank());
			request.log("unservable rank=" + request.rank() + " waiting=" + ordered.size() + " starts-per-s="
					+ perSecond.getAsDouble() + " expected-ms=" + u.expectedWaitMs(), now);
			request.onUnservable(u.expectedWaitMs(), now);
		}
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
		this.choice.recordFreedSlot(worker, now);
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
			Optional<WorkerChoice.ReservationAttempt> attempt = this.choice.next(this.queue, this.inFlight, now);
			if (attempt.isEmpty()) {
				rejectUnservable(now);
				break;
			}
			this.queue.remove(attempt.get().ticket());
			if (this.consecutiveRefusals >= SATURATION_REFUSALS
					&& attempt.get().candidateCount() > SATURATION_REFUSALS) {
				this.nextAttemptAt = now
						+ (long) (this.choice.intervalShare(attempt.get().ticket(), now) * SATURATED_INTERVAL_MS);
			}
			requestReservation(attempt.get().ticket(), attempt.get().worker(), now);
		}
		scheduleDispatch(now);
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
		this.choice.recordStart();
		if (!this.queue.isEmpty() || now > ticket.enqueuedAt()) {
			this.startRate.recordStart(now);
		}
		ticket.close();
		recordWait(ticket, now);
		ticket.request().onReserved(worker, reservation, now);
	}

	// Only where priorities compete, as elsewhere the order follows from the arrivals.
	private void recordWait(ReservationTicket ticket, long now) {
		long waitedMs = now - ticket.enqueuedAt();
		if (waitedMs == 0 || !this.choice.hasSeveralPriorities(now)) {
			return;
		}
		boolean yielded = !ticket.yieldedTo().isEmpty();
		this.gateway.metrics.queued(ticket.priority(), waitedMs, yielded);
		ticket.request()
			.log("queued queued-ms=" + waitedMs + " rank=" + ticket.priority() + " late=" + ticket.isLate()
					+ " waiting=" + this.queue.size() + (yielded ? " yielded-to=" + ticket.yieldedTo() : ""), now);
	}

	private void onRefused(WorkerState worker, int tokens, @Nullable ExchangeFailure failure, long now) {
		this.choice.recordRefusal(worker, tokens, now);
		if (failure != null) {
			this.gateway.roster.outlierDetector(this.upstream).recordFailure(worker.info().id(), now);
			worker.recordOutcome(true);
			this.gateway.paths.reservationFailed(worker, failure, now);
		}
	}

	private void scheduleDispatch(long now) {
		this.cancelTimer.run();
		this.startRate.setWaiting(!this.queue.isEmpty(), now);
		if (this.queue.isEmpty()) {
			return;
		}
		long wakeAt = this.choice.nextRetryAt(this.queue, this.inFlight, now);
		for (ReservationTicket ticket : this.queue) {
			wakeAt = Math.min(wakeAt, ticket.request().waitDeadline());
		}
		if (this.nextAttemptAt > now && this.inFlight.size() < MAX_CONCURRENT_CALLS) {
			wakeAt = Math.min(wakeAt, this.nextAttemptAt);
		}
		this.cancelTimer = this.gateway.timer.schedule(Math.max(1, wakeAt - now),
				() -> dispatch(this.gateway.clock.getAsLong()));
	}

}
