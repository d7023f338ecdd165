package io.shallotspur.replay;

import io.shallotspur.replay.fake.EventQueue;

/**
 * The constants of the replay's surroundings. Times are in microseconds.
 */
final class Timing {

	/**
	 * Between caller and entry VM, one way.
	 */
	static final long CALLER_HOP = EventQueue.MS;

	/**
	 * What a way between two halls adds.
	 */
	static final long HALL_HOP = EventQueue.MS;

	/**
	 * From a process's death to its return.
	 */
	static final long RESTART = 5000 * EventQueue.MS;

	/**
	 * How far the VM list lags.
	 */
	static final long VM_LIST_LAG = 1000 * EventQueue.MS;

	/**
	 * From the leaving mark on, a worker must get no new work after this.
	 */
	static final long LEAVE_BOUND = 3000 * EventQueue.MS;

	/**
	 * From the start of a decode to the crash that a poisonous request causes.
	 */
	static final long POISON_DELAY = 50 * EventQueue.MS;

	/**
	 * How long it takes to write an intent to the ledger before a call is sent.
	 */
	static final long LEDGER_COMMIT = 5 * EventQueue.MS;

	/**
	 * Between two load reports of a worker.
	 */
	static final long REPORT_INTERVAL = 500 * EventQueue.MS;

	/**
	 * How late load reports and cache events come.
	 */
	static final long REPORT_LAG = 300 * EventQueue.MS;

	/**
	 * The part of the load reports and cache events that is lost.
	 */
	static final double REPORT_LOSS = 0.05;

	/**
	 * What is still held this long after its caller left counts as held for good.
	 */
	static final long HELD_BOUND = 2000 * EventQueue.MS;

	/**
	 * How long a replay goes on after its last line and the longest deadline.
	 */
	static final long SETTLE = 30_000 * EventQueue.MS;

	private Timing() {
	}

	static long hop(String hall, String other) {
		return hall.equals(other) ? 0 : HALL_HOP;
	}

}
