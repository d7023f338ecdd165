package io.shallotspur.replay;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

import io.shallotspur.contract.RequestClass;

/**
 * What came out of a replay. Not thread-safe while it is filled.
 */
final class ReplayReport {

	private final Policy policy;

	private final int leaveViolations;

	private final Tally total = new Tally();

	private final SortedMap<String, Tally> byClass = new TreeMap<>();

	ReplayReport(Policy policy, int leaveViolations) {
		this.policy = policy;
		this.leaveViolations = leaveViolations;
	}

	Policy policy() {
		return this.policy;
	}

	/**
	 * Returns how often a worker got new work though it had been leaving for long.
	 * @return the number of orders
	 */
	int leaveViolations() {
		return this.leaveViolations;
	}

	Tally total() {
		return this.total;
	}

	/**
	 * Returns the counts of each class.
	 * @return the counts by {@code customer/class}
	 */
	SortedMap<String, Tally> byClass() {
		return Collections.unmodifiableSortedMap(this.byClass);
	}

	void addCall(Call call) {
		this.total.addCall(call);
		classOf(call.line()).addCall(call);
	}

	void addAttempt(Attempt a) {
		this.total.addAttempt(a);
		classOf(a.run()).addAttempt(a);
	}

	void addDuplicated(Run run) {
		this.total.addDuplicated();
		classOf(run).addDuplicated();
	}

	void addBroken(Run run) {
		this.total.addBroken();
		classOf(run).addBroken();
	}

	void addCrash(Run run) {
		this.total.addCrash();
		classOf(run).addCrash();
	}

	void addHeld(Run run) {
		this.total.addHeld();
		classOf(run).addHeld();
	}

	private Tally classOf(TraceLine.Request line) {
		return classOf(line.customer(), line.className());
	}

	private Tally classOf(Run run) {
		RequestClass c = run.terms();
		return classOf(run.line().customer(), c.name());
	}

	private Tally classOf(String customer, String className) {
		return this.byClass.computeIfAbsent(customer + "/" + className, (k) -> new Tally());
	}

}
