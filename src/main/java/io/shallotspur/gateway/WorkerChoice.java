package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.shallotspur.queueing.AskingPace;
import io.shallotspur.queueing.Contention;
import io.shallotspur.queueing.LowerPriorityTurns;
import io.shallotspur.queueing.PriorityDemand;
import io.shallotspur.queueing.ServiceOrder;
import io.shallotspur.queueing.YieldPolicy;

/**
 * Chooses which request of a {@link ReservationQueue} asks which worker next. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * A worker that has refused, or has just freed a slot, is skipped by requests that others
 * go before, at this VM or elsewhere ({@link YieldPolicy}).
 */
final class WorkerChoice {

	// A worker with 10 slots and responses of 3 s frees a slot every 300 ms; calling it
	// more often than that is mostly unsuccessful, ms.
	private static final long FULL_BACKOFF_MS = 150;

	// Logged for a request that yields to others that may wait at other VMs.
	private static final String OTHER_VMS = "other-vms";

	private final Gateway gateway;

	private final RecentRefusals recentRefusals = new RecentRefusals();

	private final PriorityDemand demand = new PriorityDemand();

	private final YieldPolicy yieldPolicy = new YieldPolicy(this.demand);

	private final LowerPriorityTurns lowerPriorityTurns = new LowerPriorityTurns();

	WorkerChoice(Gateway gateway) {
		this.gateway = gateway;
	}

	void recordArrival(ReservationTicket ticket, long now) {
		this.demand.recordArrival(ticket.priority(), now);
	}

	boolean hasSeveralPriorities(long now) {
		return this.demand.hasSeveralPriorities(now);
	}

	void recordStart() {
		this.lowerPriorityTurns.recordStart();
	}

	void recordFreedSlot(String worker, long now) {
		this.recentRefusals.recordFreedSlot(worker, YieldPolicy.maxMs(servingVms(now)), now);
	}

	void recordRefusal(WorkerState worker, int tokens, long now) {
		long backoffMs = (long) (FULL_BACKOFF_MS * (0.75 + this.gateway.random.next() / 2));
		this.recentRefusals.recordRefusal(worker.info().id(), tokens, backoffMs, YieldPolicy.maxMs(servingVms(now)),
				now);
	}

	/**
	 * Returns the next request and the worker to ask for its slot.
	 * @param queue the requests that wait
	 * @param inFlight the requests for which a worker is being asked
	 * @param now the present time in milliseconds
	 * @return the next call, or empty if no worker is to be asked now
	 */
	Optional<ReservationAttempt> next(Set<ReservationTicket> queue, Set<ReservationTicket> inFlight, long now) {
		List<ReservationTicket> ordered = ServiceOrder.of(queue, now);
		Contention<ReservationTicket> contention = new Contention<>(queue, inFlight);
		Map<Group, AskingPace> paces = new HashMap<>();
		Function<ReservationTicket, AskingPace> pace = (t) -> paces.computeIfAbsent(Group.of(t),
				(group) -> pace(t, contention, now));
		return lowerPriorityAttempt(ordered, pace, now)
			.or(() -> ordered.stream().flatMap((t) -> attempt(t, contention, pace.apply(t), now).stream()).findFirst());
	}

	private AskingPace pace(ReservationTicket ticket, Contention<ReservationTicket> contention, long now) {
		return this.yieldPolicy.pace(ticket, contention, servingVms(now), now);
	}

	private Optional<ReservationAttempt> lowerPriorityAttempt(List<ReservationTicket> ordered,
			Function<ReservationTicket, AskingPace> pace, long now) {
		if (!this.lowerPriorityTurns.isDue()) {
			return Optional.empty();
		}
		return ServiceOrder.firstOfLowerPriority(ordered)
			.flatMap((t) -> attempt(t, t.request().candidates(now), pace.apply(t).withoutYielding(), now));
	}

	private Optional<ReservationAttempt> attempt(ReservationTicket ticket, Contention<ReservationTicket> contention,
			AskingPace pace, long now) {
		Optional<ReservationTicket> timely = contention.holdsBack(ticket);
		if (timely.isPresent()) {
			ticket.yieldTo(timely.get().request().id());
			return Optional.empty();
		}
		List<WorkerState> candidates = ticket.request().candidates(now);
		Optional<ReservationAttempt> attempt = attempt(ticket, candidates, pace, now);
		if (attempt.isEmpty() && yields(ticket, candidates, pace, now)) {
			ticket.yieldTo(contention.higherThan(ticket).map((t) -> t.request().id()).orElse(OTHER_VMS));
		}
		return attempt;
	}

	// Whether the request yields for the first time, and would ask a worker otherwise.
	private boolean yields(ReservationTicket ticket, List<WorkerState> candidates, AskingPace pace, long now) {
		return pace.yieldMs().isPresent() && ticket.yieldedTo().isEmpty()
				&& !eligible(ticket, candidates, pace.withoutYielding(), now).isEmpty();
	}

	private Optional<ReservationAttempt> attempt(ReservationTicket ticket, List<WorkerState> candidates,
			AskingPace pace, long now) {
		return WorkerSelector
			.leastCost(eligible(ticket, candidates, pace, now), this.gateway.settings.hall(), this.gateway.random, now)
			.map((w) -> new ReservationAttempt(ticket, w, candidates.size()));
	}

	private List<WorkerState> eligible(ReservationTicket ticket, List<WorkerState> candidates, AskingPace pace,
			long now) {
		int tokens = ticket.request().requiredTokens();
		return candidates.stream().filter((w) -> this.recentRefusals.mayFit(w.info().id(), tokens, pace, now)).toList();
	}

	/**
	 * Returns the next time at which a request may ask a worker that it skips.
	 * @param queue the requests that wait
	 * @param inFlight the requests for which a worker is being asked
	 * @param now the present time in milliseconds
	 * @return a time in milliseconds, after now
	 */
	long nextRetryAt(Set<ReservationTicket> queue, Set<ReservationTicket> inFlight, long now) {
		long retryAt = this.recentRefusals.nextRetryAt(AskingPace.USUAL, now, now + FULL_BACKOFF_MS);
		if (!this.demand.hasSeveralPriorities(now)) {
			return retryAt;
		}
		Contention<ReservationTicket> contention = new Contention<>(queue, inFlight);
		Set<Group> seen = new HashSet<>();
		for (ReservationTicket ticket : queue) {
			if (seen.add(Group.of(ticket))) {
				retryAt = this.recentRefusals.nextRetryAt(pace(ticket, contention, now), now, retryAt);
			}
		}
		return retryAt;
	}

	/**
	 * Returns the share of the usual interval after which a request asks workers again.
	 * @param ticket the request
	 * @param now the present time in milliseconds
	 * @return from 0 to 1
	 */
	double intervalShare(ReservationTicket ticket, long now) {
		return this.yieldPolicy.intervalShare(ticket.priority(), now);
	}

	private int servingVms(long now) {
		return this.gateway.entryVms.servingCountOwnRegion(now);
	}

	/**
	 * The next reservation call: the request, the worker to call and the number of
	 * candidates.
	 */
	record ReservationAttempt(ReservationTicket ticket, WorkerState worker, int candidateCount) {

	}

	/**
	 * The requests that ask at the same pace.
	 */
	private record Group(int priority, boolean late) {

		static Group of(ReservationTicket ticket) {
			return new Group(ticket.priority(), ticket.isLate());
		}

	}

}
