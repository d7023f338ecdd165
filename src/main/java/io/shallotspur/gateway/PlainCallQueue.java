package io.shallotspur.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.shallotspur.pace.PaceComparison;
import io.shallotspur.pace.PlainCallDecision;
import io.shallotspur.queueing.ServiceOrder;

/**
 * The plain calls of one upstream that wait at this VM while all workers are believed
 * full. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Designed for bursts at workers that are uneven, or at routes of different priority on
 * one upstream. Elsewhere calls are sent at once, and the workers' own queues serve them
 * as well.
 * <p>
 * Invariants: each call that was submitted is either sent or rejected, once, unless it is
 * cancelled; the order is that of {@link ServiceOrder}.
 */
final class PlainCallQueue {

	// Interval at which the queue is checked, ms, as calls of other VMs end without
	// notice to this one.
	private static final long RECHECK_MS = 10;

	// The queue may hold one call per slot, or this many if there are fewer slots.
	private static final int MIN_LIMIT = 64;

	private final Gateway gateway;

	private final String upstream;

	private final Map<ReservationTicket, PlainCall> waiting = new LinkedHashMap<>();

	private long lastSequence;

	private Runnable cancelTimer = () -> {
	};

	PlainCallQueue(Gateway gateway, String upstream) {
		this.gateway = gateway;
		this.upstream = upstream;
	}

	/**
	 * Sends a call, rejects it or lets it wait.
	 * @param call the call
	 * @param now the present time in milliseconds
	 */
	void submit(PlainCall call, long now) {
		ReservationTicket ticket = new ReservationTicket(call, ++this.lastSequence, now);
		this.waiting.put(ticket, call);
		dispatch(now);
		if (!ticket.isClosed()) {
			this.gateway.metrics.plainCallWaited();
			rejectLastIfTooMany(call.slots(now), now);
		}
	}

	/**
	 * Forgets a call that waits; no effect if it does not.
	 * @param call the call
	 */
	void cancel(PlainCall call) {
		for (Map.Entry<ReservationTicket, PlainCall> e : List.copyOf(this.waiting.entrySet())) {
			if (e.getValue() == call) {
				close(e.getKey());
			}
		}
	}

	private void rejectLastIfTooMany(int slots, long now) {
		if (this.waiting.size() > Math.max(MIN_LIMIT, slots)) {
			List<ReservationTicket> ordered = ServiceOrder.of(this.waiting.keySet(), now);
			ReservationTicket last = ordered.get(ordered.size() - 1);
			close(last);
			last.request().onRejected(now);
		}
	}

	private void close(ReservationTicket ticket) {
		ticket.close();
		this.waiting.remove(ticket);
	}

	/**
	 * Sends the calls for which there is room, and rejects those that are too late.
	 * @param now the present time in milliseconds
	 */
	void dispatch(long now) {
		this.cancelTimer.run();
		updateLate(now);
		int ahead = 0;
		for (ReservationTicket ticket : ServiceOrder.of(this.waiting.keySet(), now)) {
			PlainCall call = this.waiting.get(ticket);
			if (call != null && !handle(ticket, call, ahead, now)) {
				ahead++;
			}
		}
		if (!this.waiting.isEmpty()) {
			// A call that was sent or rejected may have caused a dispatch that set a
			// timer.
			this.cancelTimer.run();
			this.cancelTimer = this.gateway.timer.schedule(RECHECK_MS, () -> dispatch(this.gateway.clock.getAsLong()));
		}
	}

	private void updateLate(long now) {
		this.waiting.forEach((ticket, call) -> {
			if (now > call.latestStart()) {
				ticket.markLate();
			}
		});
	}

	// Returns whether the call no longer waits.
	private boolean handle(ReservationTicket ticket, PlainCall call, int ahead, long now) {
		List<WorkerState> workers = call.candidates(now);
		PlainCallDecision.Step step = decide(call, workers, ahead, now);
		if (step == PlainCallDecision.Step.WAIT && now < call.waitDeadline()) {
			return false;
		}
		close(ticket);
		if (step == PlainCallDecision.Step.SEND) {
			WorkerSelector.leastCost(workers, this.gateway.settings.hall(), this.gateway.random, now)
				.ifPresentOrElse((w) -> call.onWorker(w, now), () -> call.onRejected(now));
		}
		else {
			this.gateway.metrics.plainCallRefused();
			call.onRejected(now);
		}
		return true;
	}

	private PlainCallDecision.Step decide(PlainCall call, List<WorkerState> workers, int ahead, long now) {
		PaceComparison paces = PaceComparison.of(workers.stream().map(WorkerState::pace).toList());
		boolean full = !workers.isEmpty() && workers.stream().allMatch((w) -> w.isBelievedFull(now));
		if (!mayWait(workers, paces, full)) {
			return PlainCallDecision.Step.SEND;
		}
		double finish = workers.stream().mapToDouble((w) -> w.finishTime(paces, now)).min().orElse(0);
		double finishMs = paces.referenceMs() * finish;
		double waitMs = full ? paces.referenceMs() * (ahead + 1) / ownSlots(call, now) : 0;
		return PlainCallDecision.decide(finishMs, waitMs, full, call.deadline() - now, call.repeatable());
	}

	// What is learned of engines is the time of a token, not of a call, so calls to them
	// do not wait here.
	private boolean mayWait(List<WorkerState> workers, PaceComparison paces, boolean full) {
		boolean plain = workers.stream().allMatch((w) -> w.info().stage() == WorkerStage.PLAIN);
		return plain && (paces.isUneven() || (full && hasSeveralPriorities()));
	}

	// This VM's share of the slots if all serving VMs have equally many calls.
	private double ownSlots(PlainCall call, long now) {
		return (double) Math.max(1, call.slots(now)) / this.gateway.entryVms.servingCountOwnRegion(now);
	}

	private boolean hasSeveralPriorities() {
		return this.gateway.routeTable().filter((t) -> t.hasSeveralPriorities(this.upstream)).isPresent();
	}

}
