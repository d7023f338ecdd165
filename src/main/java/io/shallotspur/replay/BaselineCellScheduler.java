package io.shallotspur.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import io.shallotspur.cell.CellAction;
import io.shallotspur.cell.CellEvent;
import io.shallotspur.cell.CellScheduler;
import io.shallotspur.cell.ModelRequest;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

/**
 * A baseline: starts a prefill at once and looks for a decode worker when it is done. If
 * none has a free slot the request waits, first come first served, and its KV cache may
 * be evicted meanwhile; then it is prefilled again. Failures are retried, callers that
 * left are freed, and what passes its deadline is ended, so that it differs from the
 * product in its choices alone. Not thread-safe.
 */
final class BaselineCellScheduler implements CellScheduler {

	private static final int MAX_TRIES = 3;

	private final BaselineWorkers workers;

	private final Map<String, Job> jobs = new LinkedHashMap<>();

	private final Map<Long, Job> byAttempt = new HashMap<>();

	private final Deque<Job> waitingForPrefill = new ArrayDeque<>();

	private final Deque<Job> waitingForDecode = new ArrayDeque<>();

	private final PriorityQueue<Job> byDeadline = new PriorityQueue<>(
			Comparator.comparingLong((Job j) -> j.request.deadlineAt()).thenComparingLong((j) -> j.number));

	private long nextAttempt = 1;

	private long nextNumber;

	BaselineCellScheduler(Policy policy, long seed) {
		this.workers = new BaselineWorkers(policy, seed);
	}

	@Override
	public void handle(CellEvent event, long now, Consumer<CellAction> out) {
		expire(now, out);
		if (event instanceof CellEvent.Submit e) {
			submit(e.request(), out);
		}
		else if (event instanceof CellEvent.CallerGone e) {
			Job job = this.jobs.get(e.requestId());
			if (job != null) {
				free(job, out);
				remove(job);
			}
		}
		else if (event instanceof CellEvent.WorkerUp e) {
			this.workers.up(e.worker());
		}
		else if (event instanceof CellEvent.WorkerLeaving e) {
			this.workers.leaving(e.workerId());
		}
		else if (event instanceof CellEvent.WorkerDown e) {
			workerDown(e.workerId(), out);
		}
		else if (event instanceof CellEvent.CacheChange e) {
			this.workers.get(e.workerId()).cache(e.block(), e.stored());
		}
		else {
			progress(event, out);
		}
		serveQueues(out);
	}

	@Override
	public long nextWake(long now) {
		Job first = this.byDeadline.peek();
		return (first != null) ? first.request.deadlineAt() + 1 : Long.MAX_VALUE;
	}

	private void progress(CellEvent event, Consumer<CellAction> out) {
		if (event instanceof CellEvent.PrefillDone e) {
			prefillDone(this.byAttempt.get(e.attempt()));
		}
		else if (event instanceof CellEvent.PrefillFailed e) {
			retry(this.byAttempt.get(e.attempt()), out);
		}
		else if (event instanceof CellEvent.TransferDone e) {
			transferDone(this.byAttempt.get(e.attempt()), out);
		}
		else if (event instanceof CellEvent.TransferFailed e) {
			prefillAgain(this.byAttempt.get(e.attempt()), out);
		}
		else if (event instanceof CellEvent.Tokens e) {
			Job job = this.byAttempt.get(e.attempt());
			if (job != null) {
				job.sent += e.count();
			}
		}
		else if (event instanceof CellEvent.DecodeDone e) {
			Job job = this.byAttempt.get(e.attempt());
			if (job != null) {
				releaseWorkers(job);
				remove(job);
			}
		}
		else if (event instanceof CellEvent.DecodeFailed e) {
			retry(this.byAttempt.get(e.attempt()), out);
		}
	}

	private void submit(ModelRequest request, Consumer<CellAction> out) {
		Job job = new Job(request, this.nextNumber++);
		this.jobs.put(request.id(), job);
		this.byDeadline.add(job);
		startPrefill(job, out);
	}

	private void startPrefill(Job job, Consumer<CellAction> out) {
		BaselineWorkers.Entry w = this.workers.choosePrefill(job.request.prefixBlocks());
		this.byAttempt.remove(job.attempt);
		if (w == null) {
			job.stage = Stage.NO_PREFILL;
			this.waitingForPrefill.add(job);
			return;
		}
		job.stage = Stage.PREFILL;
		job.attempt = this.nextAttempt++;
		this.byAttempt.put(job.attempt, job);
		job.prefill = w;
		w.take();
		out.accept(new CellAction.StartPrefill(job.request.id(), job.attempt, w.id(), "", job.sent));
	}

	private void prefillDone(@Nullable Job job) {
		if (job != null && job.stage == Stage.PREFILL) {
			job.stage = Stage.NO_DECODE;
			releaseWorkers(job, false);
			this.waitingForDecode.add(job);
		}
	}

	private void transferDone(@Nullable Job job, Consumer<CellAction> out) {
		if (job != null && job.stage == Stage.TRANSFER) {
			job.stage = Stage.DECODE;
			out.accept(new CellAction.StartDecode(job.request.id(), job.attempt, id(job.decode)));
		}
	}

	private void prefillAgain(@Nullable Job job, Consumer<CellAction> out) {
		if (job != null && job.stage == Stage.TRANSFER) {
			free(job, out);
			startPrefill(job, out);
		}
	}

	private void serveQueues(Consumer<CellAction> out) {
		List<Job> unplaced = new ArrayList<>(this.waitingForPrefill);
		this.waitingForPrefill.clear();
		unplaced.forEach((j) -> startPrefill(j, out));
		while (!this.waitingForDecode.isEmpty()) {
			BaselineWorkers.Entry w = this.workers.chooseDecode();
			if (w == null) {
				return;
			}
			Job job = this.waitingForDecode.remove();
			job.stage = Stage.TRANSFER;
			job.decode = w;
			w.take();
			out.accept(new CellAction.StartTransfer(job.request.id(), job.attempt, id(job.prefill), w.id()));
		}
	}

	private void workerDown(String id, Consumer<CellAction> out) {
		this.workers.down(id);
		for (Job job : List.copyOf(this.jobs.values())) {
			boolean decodeLost = job.decode != null && id.equals(id(job.decode));
			boolean prefillLost = job.prefill != null && id.equals(id(job.prefill)) && job.stage != Stage.DECODE;
			if (decodeLost && job.stage == Stage.TRANSFER) {
				out.accept(new CellAction.CancelTransfer(job.request.id(), job.attempt, id(job.prefill), id));
				job.decode = null;
				job.stage = Stage.NO_DECODE;
				this.waitingForDecode.add(job);
			}
			else if (decodeLost || prefillLost) {
				retry(job, out);
			}
		}
	}

	private void retry(@Nullable Job job, Consumer<CellAction> out) {
		if (job == null) {
			return;
		}
		boolean ran = job.stage == Stage.DECODE;
		free(job, out);
		if (ran && !job.request.repeatable()) {
			out.accept(new CellAction.Refuse(job.request.id(),
					Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, "The worker was lost.")));
			remove(job);
		}
		else if (++job.tries >= MAX_TRIES) {
			out.accept(new CellAction.Refuse(job.request.id(), ended(job, RefusalCode.WORKER_LOST)));
			remove(job);
		}
		else {
			startPrefill(job, out);
		}
	}

	private void expire(long now, Consumer<CellAction> out) {
		Job job = this.byDeadline.peek();
		while (job != null && job.request.deadlineAt() < now) {
			free(job, out);
			out.accept(new CellAction.Refuse(job.request.id(), ended(job, RefusalCode.DEADLINE_PASSED)));
			remove(job);
			job = this.byDeadline.peek();
		}
	}

	private Refusal ended(Job job, RefusalCode code) {
		return (job.sent > 0) ? Refusal.outcomeUnknown(code, "A part of the answer was sent.")
				: Refusal.notRun(code, "No answer was begun.", 0);
	}

	private void free(Job job, Consumer<CellAction> out) {
		String id = job.request.id();
		switch (job.stage) {
			case PREFILL -> out.accept(new CellAction.CancelPrefill(id, job.attempt, id(job.prefill)));
			case NO_DECODE -> out.accept(new CellAction.ReleaseKv(id, job.attempt, id(job.prefill)));
			case TRANSFER -> {
				out.accept(new CellAction.CancelTransfer(id, job.attempt, id(job.prefill), id(job.decode)));
				out.accept(new CellAction.ReleaseKv(id, job.attempt, id(job.prefill)));
			}
			case DECODE -> out.accept(new CellAction.CancelDecode(id, job.attempt, id(job.decode)));
			default -> {
			}
		}
		releaseWorkers(job);
		this.waitingForDecode.remove(job);
		this.waitingForPrefill.remove(job);
	}

	private void releaseWorkers(Job job) {
		releaseWorkers(job, true);
		job.prefill = null;
	}

	private void releaseWorkers(Job job, boolean all) {
		BaselineWorkers.Entry p = job.prefill;
		if (p != null && !job.prefillReleased) {
			p.release();
		}
		job.prefillReleased = !all;
		BaselineWorkers.Entry d = job.decode;
		if (all && d != null) {
			d.release();
			job.decode = null;
		}
	}

	private void remove(Job job) {
		this.jobs.remove(job.request.id());
		this.byAttempt.remove(job.attempt);
		this.byDeadline.remove(job);
		this.waitingForDecode.remove(job);
		this.waitingForPrefill.remove(job);
	}

	private static String id(BaselineWorkers.@Nullable Entry w) {
		return (w != null) ? w.id() : "";
	}

	private enum Stage {

		NO_PREFILL, PREFILL, NO_DECODE, TRANSFER, DECODE

	}

	private static final class Job {

		private final ModelRequest request;

		private final long number;

		private Stage stage = Stage.NO_PREFILL;

		private long attempt;

		private BaselineWorkers.@Nullable Entry prefill;

		private BaselineWorkers.@Nullable Entry decode;

		private boolean prefillReleased;

		private int sent;

		private int tries;

		Job(ModelRequest request, long number) {
			this.request = request;
			this.number = number;
		}

	}

}
