package io.shallotspur.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The requests of a cell by identifier, and those in flight by attempt. Not thread-safe.
 */
final class JobTable {

	private final Map<String, Job> byId = new HashMap<>();

	private final Map<Long, Job> byAttempt = new LinkedHashMap<>();

	private final TreeMap<Long, Job> kvReady = new TreeMap<>();

	private final TreeMap<Long, Integer> gapTargets = new TreeMap<>();

	private long sequence;

	private long attempt;

	long nextSequence() {
		return ++this.sequence;
	}

	void add(Job job) {
		this.byId.put(job.request.id(), job);
	}

	void remove(Job job) {
		this.byId.remove(job.request.id(), job);
	}

	@Nullable Job byId(String id) {
		return this.byId.get(id);
	}

	// Returns the request of an attempt that has not been given up, or {@code null}.
	@Nullable Job byAttempt(long attempt, Stage stage) {
		Job j = this.byAttempt.get(attempt);
		return (j != null && j.stage == stage) ? j : null;
	}

	void beginAttempt(Job job) {
		job.attempt = ++this.attempt;
		this.byAttempt.put(job.attempt, job);
		this.gapTargets.merge(job.request.tbtMs(), 1, Integer::sum);
	}

	/**
	 * Moves an attempt to another stage. Those whose KV cache waits are kept apart: they
	 * are asked for at every event, and a walk over all requests in flight would cost
	 * more than the decisions.
	 * @param job the request
	 * @param stage its new stage
	 */
	void enter(Job job, Stage stage) {
		job.stage = stage;
		if (stage == Stage.KV_READY) {
			this.kvReady.put(job.attempt, job);
		}
		else {
			this.kvReady.remove(job.attempt, job);
		}
	}

	List<Job> kvReady() {
		return List.copyOf(this.kvReady.values());
	}

	void endAttempt(Job job) {
		this.kvReady.remove(job.attempt, job);
		if (this.byAttempt.remove(job.attempt) != null) {
			this.gapTargets.computeIfPresent(job.request.tbtMs(), (k, n) -> (n > 1) ? n - 1 : null);
		}
	}

	// Returns the tightest target for the gap between tokens of all in flight.
	double tightestGapMs() {
		Long least = this.gapTargets.ceilingKey(1L);
		return (least != null) ? least : Double.MAX_VALUE;
	}

	Collection<Job> inFlight() {
		return this.byAttempt.values();
	}

	List<Job> inFlight(Predicate<Job> filter) {
		List<Job> l = new ArrayList<>();
		for (Job j : this.byAttempt.values()) {
			if (filter.test(j)) {
				l.add(j);
			}
		}
		return l;
	}

	int size() {
		return this.byId.size();
	}

}
