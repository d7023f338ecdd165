package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.replay.fake.EventQueue;

/**
 * One run of a trace against one policy. Not thread-safe; used once.
 * <p>
 * Invariant: the report depends on the constructor's arguments alone.
 */
final class Replay {

	private final EventQueue queue = new EventQueue();

	private final List<TraceLine> trace;

	private final Policy policy;

	private final Desk desk;

	private final WorkerBook book = new WorkerBook();

	private final List<ModelLane> modelLanes = new ArrayList<>();

	private final List<PlainLane> plainLanes = new ArrayList<>();

	private final long end;

	Replay(Fleet fleet, Collection<Contract> contracts, List<TraceLine> trace, Policy policy, Schedulers schedulers,
			long seed) {
		this.trace = trace;
		this.policy = policy;
		ContractSet set = ContractSet.of(contracts);
		this.desk = new Desk(this.queue, set);
		long lane = seed * fleet.upstreams().size();
		for (Fleet.UpstreamSpec u : fleet.upstreams()) {
			addLane(u, schedulers, set, lane++);
		}
		long longest = contracts.stream()
			.flatMap((c) -> c.classes().stream())
			.mapToLong(RequestClass::deadlineMs)
			.max()
			.orElse(0);
		long last = trace.isEmpty() ? 0 : trace.get(trace.size() - 1).atMs();
		this.end = (last + longest) * EventQueue.MS + Timing.SETTLE;
	}

	/**
	 * Runs the trace to its end.
	 * @return what came out
	 */
	ReplayReport run() {
		this.modelLanes.forEach((l) -> l.open(this.end));
		this.plainLanes.forEach(PlainLane::open);
		for (TraceLine line : this.trace) {
			this.queue.at(line.atMs() * EventQueue.MS, () -> happen(line));
		}
		this.queue.runUntil(this.end);
		this.desk.checkAllHeld();
		return report();
	}

	private void addLane(Fleet.UpstreamSpec u, Schedulers schedulers, ContractSet set, long seed) {
		if (u.model()) {
			ModelLane l = new ModelLane(this.queue, this.desk, u, schedulers.cell(set, seed), this.book, seed);
			this.modelLanes.add(l);
			this.desk.addLane(u.name(), l);
		}
		else {
			PlainLane l = new PlainLane(this.queue, this.desk, u, schedulers.plain(set, seed), this.book);
			this.plainLanes.add(l);
			this.desk.addLane(u.name(), l);
		}
	}

	private void happen(TraceLine line) {
		if (line instanceof TraceLine.Request r) {
			this.desk.send(r);
		}
		else if (line instanceof TraceLine.Poison p) {
			this.desk.poison(p.id());
		}
		else if (line instanceof TraceLine.Crash c) {
			laneOf(c.worker()).crash(c.worker());
		}
		else if (line instanceof TraceLine.Leave l) {
			laneOf(l.worker()).leave(l.worker());
		}
		else if (line instanceof TraceLine.Stall s) {
			laneOf(s.worker()).stall(s.worker(), s.forMs());
		}
	}

	private Lane laneOf(String worker) {
		for (Lane l : this.desk.lanes()) {
			if (l.has(worker)) {
				return l;
			}
		}
		throw new IllegalArgumentException("The trace names an unknown worker: " + worker);
	}

	private ReplayReport report() {
		ReplayReport r = new ReplayReport(this.policy, this.book.violations());
		this.desk.calls().forEach(r::addCall);
		this.desk.duplicatedRuns().forEach(r::addDuplicated);
		this.desk.broken().forEach(r::addBroken);
		this.desk.heldAfterGone().forEach(r::addHeld);
		for (ModelLane l : this.modelLanes) {
			l.attempts().forEach(r::addAttempt);
			l.crashers().forEach(r::addCrash);
		}
		return r;
	}

}
