package io.shallotspur.replay;

import java.util.HashMap;
import java.util.Map;

import io.shallotspur.fleet.Worker;

/**
 * The workers of a replay, which of them are leaving, and how often one got new work that
 * must not. Not thread-safe.
 */
final class WorkerBook {

	private final Map<String, Worker> workers = new HashMap<>();

	private final Map<String, Long> leavingSince = new HashMap<>();

	private int violations;

	void add(Worker worker) {
		this.workers.put(worker.id(), worker);
	}

	Worker worker(String id) {
		Worker w = this.workers.get(id);
		if (w == null) {
			throw new IllegalArgumentException("The scheduler names an unknown worker: " + id);
		}
		return w;
	}

	void leave(String id, long now) {
		this.leavingSince.putIfAbsent(id, now);
	}

	boolean isLeaving(String id) {
		return this.leavingSince.containsKey(id);
	}

	/**
	 * Notes that a worker is given new work.
	 * @param id the worker
	 * @param now the present time in microseconds
	 */
	void useNow(String id, long now) {
		Long since = this.leavingSince.get(id);
		if (since != null && now > since + Timing.LEAVE_BOUND) {
			this.violations++;
		}
	}

	/**
	 * Returns how often new work went to a worker that had been leaving for longer than
	 * {@link Timing#LEAVE_BOUND}.
	 * @return the number of orders
	 */
	int violations() {
		return this.violations;
	}

}
