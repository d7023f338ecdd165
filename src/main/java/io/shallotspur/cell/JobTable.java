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
 * The requests of a cell indexed by identifier, and those in flight indexed by attempt.
 * Not thread-safe.
 */
final class JobTable {

	private final Map<String, Job> jobsById = new HashMap<>();

	private final Map<Long, Job> jobsByAttempt = new LinkedHashMap<>();

	private final TreeMap<Long, Job> kvReadyJobs = new TreeMap<>();

	private final TreeMap<Long, Integer> tbtTargetCounts = new TreeMap<>();

	private long lastSequence;

	private long lastAttemptId;

	long nextSequence() {
		return ++this.lastSequence;
	}

	void add(Job job) {
		this.jobsById.put(job.request.id(), job);
	}

	void remove(Job job) {
		this.jobsById.remove(job.request.id(), job);
	}

	@Nullable Job findById(String id) {
		return this.jobsById.get(id);
	}

	// Returns the request of a current attempt, or {@code null} if the attempt ended or
	// is in another stage.
	@Nullable Job findByAttempt(long attemptId, JobStage stage) {
		Job j = this.jobsByAttempt.get(attemptId);
		return (j != null && j.stage == stage) ? j : null;
	}

	void beginAttempt(Job job) {
		job.attemptId = ++this.lastAttemptId;
		this.jobsByAttempt.put(job.attemptId, job);
		this.tbtTargetCounts.merge(job.request.tbtMs(), 1, Integer::sum);
	}

	/**
	 * Sets the stage of a request. Requests with a KV cache ready for transfer are
	 * indexed separately: they are looked up at every event, and a scan of all requests
	 * in flight would cost more than the scheduling decisions.
	 * @param job the request
	 * @param stage its new stage
	 */
	void setStage(Job job, JobStage stage) {
		job.stage = stage;
		if (stage == JobStage.KV_READY) {
			this.kvReadyJobs.put(job.attemptId, job);
		}
		else {
			this.kvReadyJobs.remove(job.attemptId, job);
		}
	}

	List<Job> kvReadyJobs() {
		return List.copyOf(this.kvReadyJobs.values());
	}

	void endAttempt(Job job) {
		this.kvReadyJobs.remove(job.attemptId, job);
		if (this.jobsByAttempt.remove(job.attemptId) != null) {
			this.tbtTargetCounts.computeIfPresent(job.request.tbtMs(), (k, n) -> (n > 1) ? n - 1 : null);
		}
	}

	// Returns the smallest TBT target of the requests in flight in milliseconds, or
	// Double.MAX_VALUE if none has a target.
	double minTbtTargetMs() {
		Long minTarget = this.tbtTargetCounts.ceilingKey(1L);
		return (minTarget != null) ? minTarget : Double.MAX_VALUE;
	}

	Collection<Job> inFlightJobs() {
		return this.jobsByAttempt.values();
	}

	List<Job> inFlightJobs(Predicate<Job> filter) {
		List<Job> matching = new ArrayList<>();
		for (Job j : this.jobsByAttempt.values()) {
			if (filter.test(j)) {
				matching.add(j);
			}
		}
		return matching;
	}

	int size() {
		return this.jobsById.size();
	}

}
