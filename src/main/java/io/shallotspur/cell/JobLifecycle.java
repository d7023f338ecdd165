package io.shallotspur.cell;

import java.util.Random;
import java.util.function.Consumer;

import io.shallotspur.admission.FairQueue;
import io.shallotspur.admission.TimerQueue;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.retry.Backoff;
import io.shallotspur.retry.RetryBudget;
import io.shallotspur.retry.RetryBudgetSettings;
import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.PrefillWorker;

/**
 * The stage transitions of a request in the cell. Each transition updates the resources
 * held for the request and emits the matching actions, so that the scheduler and the
 * executor stay consistent. Not thread-safe.
 * <p>
 * Invariant: after {@link #release} nothing is reserved, held or running for the request,
 * regardless of its stage.
 */
final class JobLifecycle {

	/**
	 * How long before its expiry a KV cache is transferred even over a busy link, in
	 * milliseconds.
	 */
	static final long KV_URGENT_BEFORE_EXPIRY_MS = 100;

	private static final long RETRY_WINDOW_MS = 10_000;

	private static final int MAX_TRACKED_CUSTOMERS = 65_536;

	private final CellSettings settings;

	private final JobTable jobs;

	private final FairQueue<Job> queue;

	private final RetryBudget retryBudget;

	private final TimerQueue<Job> timers;

	private final Random random;

	private Consumer<CellAction> actionSink = (a) -> {
	};

	JobLifecycle(CellSettings settings, JobTable jobs, FairQueue<Job> queue, TimerQueue<Job> timers, long seed) {
		this.settings = settings;
		this.jobs = jobs;
		this.queue = queue;
		this.timers = timers;
		this.retryBudget = new RetryBudget(new RetryBudgetSettings(settings.retryRatio(), settings.minRetries(),
				RETRY_WINDOW_MS, MAX_TRACKED_CUSTOMERS));
		this.random = new Random(seed);
	}

	void setActionSink(Consumer<CellAction> actionSink) {
		this.actionSink = actionSink;
	}

	void submit(Job job, long now) {
		this.retryBudget.recordFirstAttempt(job.customer(), now);
		this.jobs.add(job);
		this.queue.add(job);
		this.timers.add(job, job.request.deadlineAt());
	}

	void startPrefill(Job job, Placement placement, long now) {
		double stepMs = placement.decodeWorker()
			.predictStepMs(placement.decodeWorker().maxRequests(job.request.tbtMs()));
		double engineMs = placement.prefillMs() + job.expectedRemainingTokens() * stepMs
				/ Math.max(1, placement.decodeWorker().maxRequests(job.request.tbtMs()));
		this.queue.dispatch(job, engineMs);
		job.chargedEngineMs = engineMs;
		job.attemptCount++;
		this.jobs.beginAttempt(job);
		enterStage(job, JobStage.PREFILLING, now);
		job.prefillWorker = placement.prefillWorker();
		job.predictedPrefillMs = placement.prefillMs();
		reserveDecodeSlot(job, placement.decodeWorker());
		placement.prefillWorker().startPrefill(job.attemptId, job.request.prefixBlocks(), now + placement.prefillMs());
		this.actionSink.accept(new CellAction.StartPrefill(job.request.id(), job.attemptId,
				placement.prefillWorker().id(), placement.decodeWorker().id(), job.generatedTokens));
	}

	void onPrefillDone(Job job, int computedTokens, long now) {
		PrefillWorker prefillWorker = job.prefillWorker;
		if (prefillWorker != null) {
			prefillWorker.finishPrefill(job.attemptId, job.promptTokens(), computedTokens, now - job.stageEnteredAt,
					now);
			long ttlMs = (prefillWorker.worker().kvTtlMs() > 0) ? prefillWorker.worker().kvTtlMs() : Long.MAX_VALUE / 4;
			job.kvUsableUntil = now + Math.max(1, ttlMs - this.settings.kvExpiryMarginMs());
			this.timers.add(job, job.kvUsableUntil - KV_URGENT_BEFORE_EXPIRY_MS);
			this.timers.add(job, job.kvUsableUntil);
		}
		enterStage(job, JobStage.KV_READY, now);
	}

	void startTransfer(Job job, DecodeWorker decodeWorker, long now) {
		PrefillWorker prefillWorker = job.prefillWorker;
		if (prefillWorker == null) {
			return;
		}
		cancelReservation(job);
		job.decodeWorker = decodeWorker;
		decodeWorker.adjustHeldSlots(1);
		if (job.suspect) {
			decodeWorker.adjustSuspects(1);
		}
		job.predictedTransferMs = decodeWorker.startTransfer(job.promptTokens(), now);
		enterStage(job, JobStage.TRANSFERRING, now);
		if (this.settings.isEnabled(CellFeature.STALL_DETECTION)) {
			this.timers.add(job, stallDeadline(decodeWorker));
		}
		this.actionSink.accept(
				new CellAction.StartTransfer(job.request.id(), job.attemptId, prefillWorker.id(), decodeWorker.id()));
	}

	long stallDeadline(DecodeWorker d) {
		return (long) Math.ceil(d.stallDeadline(this.settings.minStallMarginMs()));
	}

	void startDecode(Job job, long now) {
		DecodeWorker decodeWorker = job.decodeWorker;
		PrefillWorker prefillWorker = job.prefillWorker;
		if (decodeWorker == null || prefillWorker == null) {
			return;
		}
		decodeWorker.completeTransfer(job.predictedTransferMs, now - job.stageEnteredAt, now);
		enterStage(job, JobStage.DECODING, now);
		job.decodeStarted = true;
		job.attemptTokens = 0;
		this.actionSink.accept(new CellAction.StartDecode(job.request.id(), job.attemptId, decodeWorker.id()));
		this.actionSink.accept(new CellAction.ReleaseKv(job.request.id(), job.attemptId, prefillWorker.id()));
		job.prefillWorker = null;
	}

	// Cancels a transfer that makes no progress or whose decode worker was lost. The KV
	// cache becomes ready for another transfer.
	void abortTransfer(Job job, long now) {
		DecodeWorker decodeWorker = job.decodeWorker;
		PrefillWorker prefillWorker = job.prefillWorker;
		if (decodeWorker == null || prefillWorker == null) {
			return;
		}
		this.actionSink.accept(
				new CellAction.CancelTransfer(job.request.id(), job.attemptId, prefillWorker.id(), decodeWorker.id()));
		releaseDecodeSlot(job, now);
		long ttlMs = prefillWorker.worker().kvTtlMs();
		job.kvUsableUntil = now
				+ Math.max(1, ((ttlMs > 0) ? ttlMs : Long.MAX_VALUE / 4) - this.settings.kvExpiryMarginMs());
		this.timers.add(job, job.kvUsableUntil);
		enterStage(job, JobStage.KV_READY, now);
	}

	// Ends a request whose answer is complete.
	void complete(Job job, long now) {
		releaseDecodeSlot(job, now);
		finish(job, now);
	}

	// Releases all resources of a request and ends it without an answer.
	void abort(Job job, long now) {
		release(job, now);
		finish(job, now);
	}

	void refuse(Job job, Refusal refusal, long now) {
		abort(job, now);
		this.actionSink.accept(new CellAction.Refuse(job.request.id(), refusal));
	}

	// Refuses a request. The outcome is unknown if decoding had started, and not run
	// otherwise.
	void refuse(Job job, RefusalCode code, String detail, long retryAfterMs, long now) {
		boolean mayHaveRun = job.decodeStarted;
		refuse(job, mayHaveRun ? Refusal.outcomeUnknown(code, detail) : Refusal.notRun(code, detail, retryAfterMs),
				now);
	}

	// Queues a request again after a failed attempt, or refuses it if it may not be
	// retried.
	void retry(Job job, RefusalCode cause, long now) {
		if (!job.isRetryable()) {
			refuse(job, RefusalCode.OUTCOME_UNKNOWN, "The worker was lost; the request may have been run.", 0, now);
			return;
		}
		if (job.attemptCount >= this.settings.maxAttempts() || now >= job.request.deadlineAt()) {
			refuse(job, cause, "The request failed; its attempts or its time are exhausted.", 0, now);
			return;
		}
		if (!this.retryBudget.tryRetry(job.customer(), now)) {
			refuse(job, RefusalCode.RETRY_BUDGET, "The retry budget of the customer is exhausted.", 1000, now);
			return;
		}
		release(job, now);
		enterStage(job, JobStage.QUEUED, now);
		job.notBefore = (job.attemptCount > 1) ? now + Backoff.DEFAULT.delay(job.attemptCount - 1, this.random) : now;
		this.timers.add(job, job.notBefore);
		this.queue.add(job);
	}

	// Cancels all running work of a request and releases its resources.
	void release(Job job, long now) {
		cancelRunning(job);
		if (job.stage == JobStage.QUEUED) {
			this.queue.remove(job);
		}
		else {
			refundUnusedCharge(job, now);
		}
		releaseDecodeSlot(job, now);
		this.jobs.endAttempt(job);
		job.prefillWorker = null;
		job.prefillWorkerLost = false;
	}

	// Marks the prefill worker as lost, so that no cancellation is sent to it.
	void markPrefillWorkerLost(Job job) {
		job.prefillWorkerLost = true;
	}

	void releaseDecodeWorker(Job job, long now) {
		releaseDecodeSlot(job, now);
	}

	// Records that a request was decoding on a worker that crashed. Returns its
	// fingerprint.
	long recordCrash(Job job) {
		job.crashCount++;
		job.clearAfterTokens = job.attemptTokens + 2;
		if (job.crashCount == 1) {
			job.clearAfterTokens = Math.min(job.clearAfterTokens, this.settings.isolationTokens());
		}
		return job.request.fingerprint();
	}

	// Ends the isolation of a suspect that has run past the point of its crash or, if it
	// was at a single crash, has generated isolationTokens: a request that crashes a
	// worker is expected to do so again at the same point. If suspects were isolated
	// until completion, twenty harmless requests of a crashed worker would run one after
	// another and miss their deadlines. The caller records the progress, so that the
	// earlier crashes of the request weigh less at the next crash and do not hide the
	// actual cause. After a second crash the request is isolated until it has run past
	// the point that it had reached itself.
	boolean endIsolationIfProven(Job job) {
		DecodeWorker d = job.decodeWorker;
		if (!job.suspect || d == null || job.attemptTokens < job.clearAfterTokens) {
			return false;
		}
		d.adjustSuspects(-1);
		job.suspect = false;
		return true;
	}

	void reserveDecodeSlot(Job job, DecodeWorker d) {
		cancelReservation(job);
		job.decodeWorker = d;
		d.adjustReservedSlots(1);
		if (job.suspect) {
			d.adjustReservedSuspects(1);
		}
	}

	private void cancelRunning(Job job) {
		String id = job.request.id();
		PrefillWorker p = job.prefillWorker;
		DecodeWorker d = job.decodeWorker;
		if (job.stage == JobStage.PREFILLING && p != null && !job.prefillWorkerLost) {
			p.abortPrefill(job.attemptId);
			this.actionSink.accept(new CellAction.CancelPrefill(id, job.attemptId, p.id()));
		}
		if (job.stage == JobStage.TRANSFERRING && p != null && d != null) {
			this.actionSink.accept(new CellAction.CancelTransfer(id, job.attemptId, p.id(), d.id()));
		}
		if (job.stage == JobStage.DECODING && d != null) {
			this.actionSink.accept(new CellAction.CancelDecode(id, job.attemptId, d.id()));
		}
		if ((job.stage == JobStage.KV_READY || job.stage == JobStage.TRANSFERRING) && p != null
				&& !job.prefillWorkerLost) {
			this.actionSink.accept(new CellAction.ReleaseKv(id, job.attemptId, p.id()));
		}
	}

	private void refundUnusedCharge(Job job, long now) {
		// A prefill that ends early has used less engine time than was charged.
		if (job.stage == JobStage.PREFILLING && job.chargedEngineMs > 0) {
			double usedMs = Math.min(job.chargedEngineMs, now - job.stageEnteredAt);
			this.queue.charge(job.flow(), usedMs - job.chargedEngineMs);
		}
		job.chargedEngineMs = 0;
	}

	private void releaseDecodeSlot(Job job, long now) {
		DecodeWorker d = job.decodeWorker;
		if (d == null) {
			return;
		}
		if (job.stage == JobStage.TRANSFERRING || job.stage == JobStage.DECODING) {
			d.adjustHeldSlots(-1);
			if (job.stage == JobStage.TRANSFERRING) {
				d.endTransfer(job.predictedTransferMs, now);
			}
			if (job.suspect) {
				d.adjustSuspects(-1);
			}
			job.decodeWorker = null;
		}
		else {
			cancelReservation(job);
		}
	}

	private void cancelReservation(Job job) {
		DecodeWorker d = job.decodeWorker;
		if (d == null) {
			return;
		}
		d.adjustReservedSlots(-1);
		if (job.suspect) {
			d.adjustReservedSuspects(-1);
		}
		job.decodeWorker = null;
	}

	private void finish(Job job, long now) {
		enterStage(job, JobStage.ENDED, now);
		this.jobs.endAttempt(job);
		this.jobs.remove(job);
	}

	private void enterStage(Job job, JobStage stage, long now) {
		this.jobs.setStage(job, stage);
		job.stageEnteredAt = now;
	}

}
