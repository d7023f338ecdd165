package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.plain.PlainAction;
import io.shallotspur.plain.PlainEvent;
import io.shallotspur.plain.PlainRequest;
import io.shallotspur.plain.PlainScheduler;

/**
 * A baseline for plain services: sends each call to a worker at once, which queues it.
 * Not thread-safe.
 * <p>
 * Invariant: a call that may not be repeated is sent again only if an attempt surely did
 * not run.
 */
final class BaselinePlainScheduler implements PlainScheduler {

	private static final int MAX_TRIES = 3;

	private final BaselineWorkers workers;

	private final Map<String, Job> jobs = new LinkedHashMap<>();

	private final Map<Long, Job> byAttempt = new HashMap<>();

	private final PriorityQueue<Job> byDeadline = new PriorityQueue<>(
			Comparator.comparingLong((Job j) -> j.request.deadlineAt()).thenComparing((j) -> j.request.id()));

	private long nextAttempt = 1;

	BaselinePlainScheduler(Policy policy, long seed) {
		this.workers = new BaselineWorkers(policy, seed);
	}

	@Override
	public void handle(PlainEvent event, long now, Consumer<PlainAction> out) {
		expire(now, out);
		if (event instanceof PlainEvent.Submit e) {
			Job job = new Job(e.request());
			this.jobs.put(e.request().id(), job);
			this.byDeadline.add(job);
			start(job, out);
		}
		else if (event instanceof PlainEvent.CallerGone e) {
			end(this.jobs.get(e.requestId()), out);
		}
		else if (event instanceof PlainEvent.CallCompleted e) {
			finish(this.byAttempt.get(e.attempt()));
		}
		else if (event instanceof PlainEvent.CallNotRun e) {
			retry(this.byAttempt.get(e.attempt()), true, out);
		}
		else if (event instanceof PlainEvent.CallOutcomeUnknown e) {
			retry(this.byAttempt.get(e.attempt()), false, out);
		}
		else if (event instanceof PlainEvent.WorkerUp e) {
			this.workers.up(e.worker());
			new ArrayList<>(this.jobs.values()).stream().filter((j) -> j.worker == null).forEach((j) -> start(j, out));
		}
		else if (event instanceof PlainEvent.WorkerDown e) {
			workerDown(e.workerId(), out);
		}
		else if (event instanceof PlainEvent.WorkerLeaving e) {
			this.workers.leaving(e.workerId());
		}
	}

	@Override
	public long nextWake(long now) {
		Job first = this.byDeadline.peek();
		return (first != null) ? first.request.deadlineAt() + 1 : Long.MAX_VALUE;
	}

	private void start(Job job, Consumer<PlainAction> out) {
		BaselineWorkers.Entry w = this.workers.choosePlain();
		job.worker = w;
		if (w != null) {
			w.take();
			job.attempt = this.nextAttempt++;
			this.byAttempt.put(job.attempt, job);
			out.accept(new PlainAction.StartCall(job.request.id(), job.attempt, w.id()));
		}
	}

	private void workerDown(String id, Consumer<PlainAction> out) {
		this.workers.down(id);
		List<Job> lost = this.jobs.values()
			.stream()
			.filter((j) -> j.worker != null && j.worker.id().equals(id))
			.toList();
		lost.forEach((j) -> retry(j, false, out));
	}

	private void retry(@Nullable Job job, boolean notRun, Consumer<PlainAction> out) {
		if (job == null) {
			return;
		}
		release(job);
		boolean mayRepeat = notRun || job.request.repeatable();
		if (mayRepeat && ++job.tries < MAX_TRIES) {
			start(job, out);
			return;
		}
		Refusal r = notRun ? Refusal.notRun(RefusalCode.WORKER_LOST, "No worker took the call.", 0)
				: Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, "The worker was lost.");
		out.accept(new PlainAction.Refuse(job.request.id(), r));
		finish(job);
	}

	private void expire(long now, Consumer<PlainAction> out) {
		Job job = this.byDeadline.peek();
		while (job != null && job.request.deadlineAt() < now) {
			Refusal r = (job.worker != null)
					? Refusal.outcomeUnknown(RefusalCode.DEADLINE_PASSED, "The call was sent and not answered in time.")
					: Refusal.notRun(RefusalCode.DEADLINE_PASSED, "No worker was there.", 0);
			end(job, out);
			out.accept(new PlainAction.Refuse(job.request.id(), r));
			job = this.byDeadline.peek();
		}
	}

	private void end(@Nullable Job job, Consumer<PlainAction> out) {
		if (job == null) {
			return;
		}
		BaselineWorkers.Entry w = job.worker;
		if (w != null) {
			out.accept(new PlainAction.CancelCall(job.request.id(), job.attempt, w.id()));
		}
		finish(job);
	}

	private void finish(@Nullable Job job) {
		if (job != null) {
			release(job);
			this.jobs.remove(job.request.id());
			this.byDeadline.remove(job);
		}
	}

	private void release(Job job) {
		BaselineWorkers.Entry w = job.worker;
		if (w != null) {
			w.release();
			job.worker = null;
		}
		this.byAttempt.remove(job.attempt);
	}

	private static final class Job {

		private final PlainRequest request;

		private BaselineWorkers.@Nullable Entry worker;

		private long attempt;

		private int tries;

		Job(PlainRequest request) {
			this.request = request;
		}

	}

}
