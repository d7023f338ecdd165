package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.ledger.IntentKey;
import io.shallotspur.ledger.InMemoryLedger;
import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.replay.fake.EventQueue;

/**
 * The entry VM as callers see it: takes calls, joins resends to the request that is in
 * flight, passes tokens and ends on, and notices callers that leave. Requests that may
 * not be repeated go through the product's ledger. It is the same for all policies. Not
 * thread-safe.
 * <p>
 * Invariant: at most one open run exists for each identity (customer and key).
 */
final class Desk {

	private static final byte[] NO_BYTES = {};

	private final EventQueue queue;

	private final ContractSet contracts;

	private final Map<String, Lane> lanes = new LinkedHashMap<>();

	private final Map<String, Run> runs = new HashMap<>();

	private final InMemoryLedger ledger = new InMemoryLedger();

	private final List<Call> calls = new ArrayList<>();

	private final Map<String, String> identities = new HashMap<>();

	private final Set<String> poisoned = new HashSet<>();

	private final Set<Run> heldAfterGone = new HashSet<>();

	private final Set<Run> broken = new HashSet<>();

	private final Map<String, RequestClass> startedOnce = new HashMap<>();

	private final Map<Run, Integer> duplicatedRuns = new LinkedHashMap<>();

	private long nextRun;

	Desk(EventQueue queue, ContractSet contracts) {
		this.queue = queue;
		this.contracts = contracts;
	}

	void addLane(String upstream, Lane lane) {
		this.lanes.put(upstream, lane);
	}

	Iterable<Lane> lanes() {
		return this.lanes.values();
	}

	List<Call> calls() {
		return this.calls;
	}

	Set<Run> heldAfterGone() {
		return this.heldAfterGone;
	}

	/**
	 * Returns the requests that may not be repeated and were.
	 * @return the runs
	 */
	Set<Run> duplicatedRuns() {
		return this.duplicatedRuns.keySet();
	}

	/**
	 * Returns the requests whose answer got a gap or a repetition in it.
	 * @return the runs
	 */
	Set<Run> broken() {
		return this.broken;
	}

	/**
	 * A caller sends a line of the trace.
	 * @param line the line
	 */
	void send(TraceLine.Request line) {
		Optional<Contract> contract = this.contracts.find(line.customer());
		RequestClass terms = contract.flatMap((c) -> c.findClass(line.className())).orElse(null);
		Call call = new Call(line, terms);
		this.calls.add(call);
		this.identities.put(line.id(), line.identity());
		this.queue.after(Timing.CALLER_HOP, () -> arrive(call, contract.isPresent()));
		Long cancel = line.cancelAfterMs();
		if (cancel != null) {
			this.queue.after(cancel * EventQueue.MS, () -> leave(call));
		}
	}

	void poison(String id) {
		this.poisoned.add(this.identities.getOrDefault(id, ""));
	}

	boolean isPoisoned(Run run) {
		return this.poisoned.contains(run.line().identity());
	}

	/**
	 * A token reaches the entry VM.
	 * @param run the request
	 * @param reached runs if a caller receives it
	 */
	void token(Run run, Runnable reached) {
		run.deliver();
		for (Call c : run.calls()) {
			this.queue.after(Timing.CALLER_HOP, () -> {
				if (c.receive(1, this.queue.now())) {
					reached.run();
				}
			});
		}
	}

	/**
	 * The end of an answer reaches the entry VM.
	 * @param run the request
	 */
	void answered(Run run) {
		run.end(Outcome.ANSWERED);
		run.calls().forEach(this::sendAnswer);
		IntentKey key = intentKey(run.line(), run.terms());
		if (key != null) {
			this.ledger.recordAnswer(key, NO_BYTES, this.queue.nowMs()).subscribe();
		}
	}

	/**
	 * The scheduler refuses a request.
	 * @param run the request
	 * @param refusal what its callers are told
	 */
	void refused(Run run, Refusal refusal) {
		run.end(refusal.outcome());
		run.calls().forEach((c) -> sendRefusal(c, refusal));
		endIntent(run, refusal.outcome() == Outcome.NOT_RUN);
	}

	/**
	 * A worker begins to run a request.
	 * @param run the request
	 */
	void started(Run run) {
		boolean again = this.startedOnce.putIfAbsent(run.line().identity(), run.terms()) != null;
		if (again && !run.terms().repeatable()) {
			this.duplicatedRuns.merge(run, 1, Integer::sum);
		}
	}

	/**
	 * An attempt resumes an answer at the wrong token, so that the caller's answer has a
	 * gap or a repetition.
	 * @param run the request
	 */
	void brokenAnswer(Run run) {
		this.broken.add(run);
	}

	/**
	 * Checks what is held for callers that have left.
	 */
	void checkAllHeld() {
		this.runs.values().stream().filter(Run::isAbandoned).forEach(this::checkHeld);
	}

	private void arrive(Call call, boolean known) {
		if (call.isGone()) {
			return;
		}
		RequestClass terms = call.terms();
		if (terms == null) {
			RefusalCode code = known ? RefusalCode.UNKNOWN_CLASS : RefusalCode.UNKNOWN_CUSTOMER;
			sendRefusal(call, Refusal.notRun(code, "No contract has this class.", 0));
			return;
		}
		Lane lane = this.lanes.get(terms.upstream());
		if (lane == null) {
			sendRefusal(call, Refusal.notRun(RefusalCode.UNKNOWN_UPSTREAM, "The fleet has no such upstream.", 0));
			return;
		}
		IntentKey key = intentKey(call.line(), terms);
		if (key != null) {
			begin(call, terms, lane, key);
			return;
		}
		Run former = (call.line().key() != null) ? this.runs.get(call.line().identity()) : null;
		if (former == null || !join(call, former)) {
			submit(call, terms, lane);
		}
	}

	private void begin(Call call, RequestClass terms, Lane lane, IntentKey key) {
		long body = call.line().identity().hashCode();
		long deadline = call.line().atMs() + terms.deadlineMs();
		this.queue.at(deadline * EventQueue.MS, () -> this.ledger.advance(this.queue.nowMs()));
		this.ledger.begin(key, body, this.queue.nowMs(), deadline).subscribe((decision) -> {
			if (decision instanceof IntentDecision.Run) {
				submit(call, terms, lane);
			}
			else if (decision instanceof IntentDecision.Refused r) {
				sendRefusal(call, r.refusal());
			}
			else {
				sendAnswer(call);
			}
		});
	}

	private void endIntent(Run run, boolean notRun) {
		IntentKey key = intentKey(run.line(), run.terms());
		if (key == null) {
			return;
		}
		long now = this.queue.nowMs();
		(notRun ? this.ledger.recordNotRun(key, now) : this.ledger.recordUnknown(key, now)).subscribe();
	}

	private static @Nullable IntentKey intentKey(TraceLine.Request line, RequestClass terms) {
		String key = line.key();
		return (key != null && !terms.repeatable()) ? new IntentKey(line.customer(), key) : null;
	}

	/**
	 * Joins a resend to the request that was sent before.
	 * @param call the resend
	 * @param former the request
	 * @return {@code false} if it has to be run again
	 */
	private boolean join(Call call, Run former) {
		if (former.end() == Outcome.ANSWERED) {
			catchUp(call, former);
			sendAnswer(call);
			return true;
		}
		if (former.isOpen()) {
			former.calls().add(call);
			catchUp(call, former);
			return true;
		}
		return false;
	}

	private void submit(Call call, RequestClass terms, Lane lane) {
		Run run = new Run("q" + this.nextRun++, call.line(), terms, this.queue.nowMs());
		run.calls().add(call);
		this.runs.put(call.line().identity(), run);
		lane.submit(run);
	}

	private void catchUp(Call call, Run run) {
		int tokens = run.delivered();
		if (tokens > 0) {
			this.queue.after(Timing.CALLER_HOP, () -> call.receive(tokens, this.queue.now()));
		}
	}

	private void leave(Call call) {
		call.leave();
		if (call.isGone()) {
			this.queue.after(Timing.CALLER_HOP, () -> noticeGone(call));
		}
	}

	private void noticeGone(Call call) {
		@Nullable Run run = this.runs.get(call.line().identity());
		if (run == null || !run.isOpen() || !run.calls().contains(call)) {
			return;
		}
		// A call that may not be repeated goes on once it is sent: its answer is kept for
		// a resend, which would otherwise have to be told that the outcome is unknown.
		boolean goesOn = run.isDispatched() && intentKey(run.line(), run.terms()) != null;
		if (!goesOn && run.calls().stream().allMatch(Call::isGone)) {
			run.abandon();
			Lane lane = this.lanes.get(run.terms().upstream());
			lane.callerGone(run);
			endIntent(run, !run.isDispatched());
			this.queue.after(Timing.HELD_BOUND, () -> checkHeld(run));
		}
	}

	private void checkHeld(Run run) {
		if (this.lanes.get(run.terms().upstream()).holds(run)) {
			this.heldAfterGone.add(run);
		}
	}

	private void sendAnswer(Call call) {
		this.queue.after(Timing.CALLER_HOP, () -> call.answer(this.queue.now()));
	}

	private void sendRefusal(Call call, Refusal refusal) {
		this.queue.after(Timing.CALLER_HOP, () -> call.refuse(refusal, this.queue.now()));
	}

}
