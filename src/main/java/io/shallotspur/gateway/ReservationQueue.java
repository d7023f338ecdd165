package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Where requests of one model upstream wait for a place and memory at a decode worker.
 * Not thread-safe; confined to the gateway's thread.
 * <p>
 * Answers a burst of twice what the decode workers' memory bears. Each VM sees only its
 * own requests, so none knows whether a worker has room; a request that is sent to a full
 * worker comes back refused, its prefill is lost, and a route with one attempt has no
 * other. So a place is reserved first: the worker is the only one who counts its places
 * exactly. Requests that find none wait here and not inside a worker, where one that is
 * urgent could not pass the others.
 * <p>
 * Those who can still be answered in time go before those who cannot, who get a place
 * only while nobody else waits; within both the more urgent goes first, then the one that
 * has to start first. While places free up more slowly than callers come, the newest goes
 * first instead: served in the order of their latest start, all would get their place
 * when it is all but too late, and every delay after that makes the answer late. The one
 * that has waited longest is the one that is late in any case. The same holds among the
 * late: what a place takes to lead to an answer is an estimate that grows in a burst, and
 * with the oldest first all who come after it would be late as well, long after the
 * burst.
 * <p>
 * When a request of this VM ends its worker is asked at once, since a place has just
 * become free there; otherwise a worker that has refused is left alone for a while
 * ({@link RecentRefusals}).
 */
final class ReservationQueue {

	// A worker with 10 places and answers of 3 s frees one each 300 ms; asking it more
	// often than that is mostly in vain, ms.
	private static final long FULL_BACKOFF_MS = 150;

	// A place that has become free is left this long to other VMs whose callers can
	// still be answered in time, before it goes to a caller who is late in any case, ms:
	// twice the time in which each of them asks again. A VM that serves all callers has
	// nobody to leave it to.
	private static final long LATE_BACKOFF_MS = 300;

	// Between two questions while all workers turn out to be full, ms. With a hundred
	// workers and as many VMs each VM would ask 270 times a second otherwise, and spend
	// its processor and theirs on refusals.
	private static final long SATURATED_INTERVAL_MS = 25;

	// Refusals in a row that show so. No more workers than this are asked less often than
	// the pace anyway.
	private static final int SATURATION_REFUSALS = 6;

	// Reservations asked for at a time: the way to a worker and back takes 2 ms.
	private static final int MAX_CONCURRENT_CALLS = 4;

	// Those who have waited for this part of the time that they could wait show that
	// places free up more slowly than callers come.
	private static final double LONG_WAIT_FRACTION = 0.5;

	// Before few places so many may wait, requests. Otherwise as many as the workers have
	// places: in the time of an answer each becomes free once, and nobody waits longer.
	private static final int MIN_QUEUE_LIMIT = 64;

	private static final Comparator<Ticket> ORDER = Comparator.comparing((Ticket t) -> t.late)
		.thenComparingInt((t) -> t.request.priority())
		.thenComparingLong((t) -> t.request.latestStart())
		.thenComparingLong((t) -> t.sequence);

	private final Gateway gateway;

	private final String upstream;

	private final TreeSet<Ticket> queue = new TreeSet<>(ORDER);

	private final RecentRefusals recentRefusals = new RecentRefusals();

	private long lastSequence;

	// Those for whom a worker is being asked.
	private final Set<Ticket> inFlight = new HashSet<>();

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
	Ticket enqueue(PendingRequest request, long now) {
		Ticket ticket = new Ticket(request, ++this.lastSequence, now);
		this.queue.add(ticket);
		if (this.queue.size() > MIN_QUEUE_LIMIT && this.queue.size() > totalSlots(request.candidates(now))) {
			rejectLast(now);
		}
		dispatch(now);
		return ticket;
	}

	private static int totalSlots(List<WorkerState> workers) {
		return workers.stream().mapToInt((w) -> w.info().slots()).sum();
	}

	// The one who would wait longest, and not the one who comes: the newest may be first.
	private void rejectLast(long now) {
		List<Ticket> ordered = orderedTickets(now);
		Ticket last = ordered.get(ordered.size() - 1);
		cancel(last);
		last.request.onRejected(now);
	}

	/**
	 * Takes a request out again; its reservation, if one is on its way, is given back.
	 * @param ticket its ticket
	 */
	void cancel(Ticket ticket) {
		ticket.closed = true;
		this.queue.remove(ticket);
	}

	/**
	 * A request of this VM at a worker has ended.
	 * @param worker the worker
	 * @param now the present time in milliseconds
	 */
	void capacityFreed(String worker, long now) {
		this.recentRefusals.recordFreedSlot(worker, now + lateBackoffMs(now), now);
		this.nextAttemptAt = now;
		dispatch(now);
	}

	private void dispatch(long now) {
		updateTickets(now);
		while (this.inFlight.size() < MAX_CONCURRENT_CALLS && now >= this.nextAttemptAt) {
			Optional<ReservationAttempt> attempt = nextAttempt(now);
			if (attempt.isEmpty()) {
				break;
			}
			this.queue.remove(attempt.get().ticket());
			if (this.consecutiveRefusals >= SATURATION_REFUSALS
					&& attempt.get().candidateCount() > SATURATION_REFUSALS) {
				this.nextAttemptAt = now + SATURATED_INTERVAL_MS;
			}
			requestReservation(attempt.get().ticket(), attempt.get().worker(), now);
		}
		scheduleDispatch(now);
	}

	private Optional<ReservationAttempt> nextAttempt(long now) {
		List<Ticket> ordered = orderedTickets(now);
		boolean hasTimelyRequest = Stream.concat(ordered.stream(), this.inFlight.stream())
			.anyMatch((ticket) -> !ticket.late);
		for (Ticket ticket : ordered) {
			if (ticket.late && hasTimelyRequest) {
				break;
			}
			List<WorkerState> candidates = ticket.request.candidates(now);
			Optional<WorkerState> worker = selectWorker(ticket, candidates, now);
			if (worker.isPresent()) {
				return Optional.of(new ReservationAttempt(ticket, worker.get(), candidates.size()));
			}
		}
		return Optional.empty();
	}

	private List<Ticket> orderedTickets(long now) {
		List<Ticket> ordered = new ArrayList<>(this.queue);
		int from = 0;
		while (from < ordered.size()) {
			int to = from + 1;
			while (to < ordered.size() && ordered.get(to).hasSameRank(ordered.get(from))) {
				to++;
			}
			if (ordered.get(from).late || ordered.get(from).hasWaitedLong(now)) {
				Collections.reverse(ordered.subList(from, to));
			}
			from = to;
		}
		return ordered;
	}

	// Turns away those whose time is up and moves those that have become late.
	private void updateTickets(long now) {
		for (Ticket ticket : new ArrayList<>(this.queue)) {
			if (now >= ticket.request.waitDeadline()) {
				cancel(ticket);
				ticket.request.onRejected(now);
			}
			else if (!ticket.late && now > ticket.request.latestStart()) {
				this.queue.remove(ticket);
				ticket.late = true;
				this.queue.add(ticket);
			}
		}
	}

	private Optional<WorkerState> selectWorker(Ticket ticket, List<WorkerState> candidates, long now) {
		int tokens = ticket.request.requiredTokens();
		List<WorkerState> eligible = candidates.stream()
			.filter((w) -> this.recentRefusals.mayFit(w.info().id(), tokens, ticket.late, now))
			.toList();
		return WorkerSelector.leastCost(eligible, this.gateway.settings.hall(), this.gateway.random, now);
	}

	private void requestReservation(Ticket ticket, WorkerState worker, long now) {
		int tokens = ticket.request.requiredTokens();
		this.inFlight.add(ticket);
		worker.requestStarted();
		worker.limit().reserve();
		this.gateway.workerPort.reserve(worker.info(), tokens, ticket.request.reservationMs(),
				new ReservationListener() {

					@Override
					public void onStatus(WorkerStatus status) {
						ReservationQueue.this.gateway.updateWorkerStatus(worker, status, now);
					}

					@Override
					public void onReserved(String reservation) {
						onResponse(ticket, worker, tokens, reservation, null);
					}

					@Override
					public void onNoCapacity() {
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

	private void onResponse(Ticket ticket, WorkerState worker, int tokens, @Nullable String reservation,
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
			if (!ticket.closed) {
				this.queue.add(ticket);
			}
		}
		dispatch(now);
	}

	private void onReserved(Ticket ticket, WorkerState worker, String reservation, long now) {
		if (ticket.closed) {
			worker.limit().releaseReservation();
			this.gateway.workerPort.cancelReservation(worker.info(), reservation);
			return;
		}
		ticket.closed = true;
		ticket.request.onReserved(worker, reservation, now);
	}

	private void onRefused(WorkerState worker, int tokens, @Nullable ExchangeFailure failure, long now) {
		long backoffMs = (long) (FULL_BACKOFF_MS * (0.75 + this.gateway.random.next() / 2));
		this.recentRefusals.recordRefusal(worker.info().id(), tokens, now + backoffMs,
				now + backoffMs + lateBackoffMs(now), now);
		if (failure != null) {
			this.gateway.roster.outlierDetector(this.upstream).recordFailure(worker.info().id(), now);
			worker.recordOutcome(true);
			worker.markUnreachable(now);
		}
	}

	// The part of the callers who are at other VMs.
	private long lateBackoffMs(long now) {
		return LATE_BACKOFF_MS - LATE_BACKOFF_MS / this.gateway.entryVms.servingCountOwnRegion(now);
	}

	private void scheduleDispatch(long now) {
		this.cancelTimer.run();
		if (this.queue.isEmpty()) {
			return;
		}
		long wakeAt = this.recentRefusals.nextRetryAt(now, now + FULL_BACKOFF_MS);
		for (Ticket ticket : this.queue) {
			wakeAt = Math.min(wakeAt, ticket.request.waitDeadline());
		}
		if (this.nextAttemptAt > now && this.inFlight.size() < MAX_CONCURRENT_CALLS) {
			wakeAt = Math.min(wakeAt, this.nextAttemptAt);
		}
		this.cancelTimer = this.gateway.timer.schedule(Math.max(1, wakeAt - now),
				() -> dispatch(this.gateway.clock.getAsLong()));
	}

	/**
	 * A request that waits.
	 */
	interface PendingRequest {

		// The memory it needs, tokens.
		int requiredTokens();

		// Its rank; 0 is first.
		int priority();

		// Until when it can start and still be answered in time, ms.
		long latestStart();

		// Until when it waits at all, ms.
		long waitDeadline();

		// How long a reservation is to last, ms.
		long reservationMs();

		// The workers that may run it.
		List<WorkerState> candidates(long now);

		// A place is reserved.
		void onReserved(WorkerState worker, String reservation, long now);

		// It waited in vain.
		void onRejected(long now);

	}

	/**
	 * The place of a request in the queue.
	 */
	static final class Ticket {

		private final PendingRequest request;

		private final long sequence;

		private final long enqueuedAt;

		private boolean late;

		private boolean closed;

		boolean isClosed() {
			return this.closed;
		}

		private Ticket(PendingRequest request, long sequence, long enqueuedAt) {
			this.request = request;
			this.sequence = sequence;
			this.enqueuedAt = enqueuedAt;
		}

		private boolean hasSameRank(Ticket other) {
			return this.late == other.late && this.request.priority() == other.request.priority();
		}

		private boolean hasWaitedLong(long now) {
			return now - this.enqueuedAt > LONG_WAIT_FRACTION * (this.request.latestStart() - this.enqueuedAt);
		}

	}

	/**
	 * Whom to ask for what next.
	 */
	private record ReservationAttempt(Ticket ticket, WorkerState worker, int candidateCount) {

	}

}
