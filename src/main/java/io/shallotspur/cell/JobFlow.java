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
 * The steps a request takes through the cell. Each step changes what is held for the
 * request and tells the interpreter, so that the two never differ. Not thread-safe.
 * <p>
 * Invariant: {@link #release} leaves nothing reserved, held or running for a request,
 * whatever its stage.
 */
final class JobFlow {

	/**
	 * So long before its eviction a KV cache does not wait for an idle link any more.
	 */
	static final long KV_URGENT_MS = 100;

	private static final long RETRY_WINDOW_MS = 10_000;

	private static final int MAX_CUSTOMERS = 65_536;

	private final CellSettings settings;

	private final JobTable jobs;

	private final FairQueue<Job> queue;

	private final RetryBudget budget;

	private final TimerQueue<Job> timers;

	private final Random random;

	private Consumer<CellAction> out = (a) -> {
	};

	JobFlow(CellSettings settings, JobTable jobs, FairQueue<Job> queue, TimerQueue<Job> timers, long seed) {
		this.settings = settings;
		this.jobs = jobs;
		this.queue = queue;
		this.timers = timers;
		this.budget = new RetryBudget(new RetryBudgetSettings(settings.retryRatio(), settings.minRetries(),
				RETRY_WINDOW_MS, MAX_CUSTOMERS));
		this.random = new Random(seed);
	}

	void emitTo(Consumer<CellAction> out) {
		this.out = out;
	}

	void submit(Job job, long now) {
		this.budget.recordFirstAttempt(job.customer(), now);
		this.jobs.add(job);
		this.queue.add(job);
		this.timers.add(job, job.request.deadlineAt());
	}

	void startPrefill(Job job, Placement p, long now) {
		double step = p.decode().predictStepMs(p.decode().maxRequests(job.request.tbtMs()));
		double engineMs = p.prefillMs()
				+ job.remainingTokens() * step / Math.max(1, p.decode().maxRequests(job.request.tbtMs()));
		this.queue.dispatch(job, engineMs);
		job.charged = engineMs;
		job.tries++;
		this.jobs.beginAttempt(job);
		enter(job, Stage.PREFILLING, now);
		job.prefill = p.worker();
		job.expectedMs = p.prefillMs();
		reserve(job, p.decode());
		p.worker().startPrefill(job.attempt, job.request.prefixBlocks(), now + p.prefillMs());
		this.out.accept(new CellAction.StartPrefill(job.request.id(), job.attempt, p.worker().id(), p.decode().id(),
				job.generated));
	}

	void prefillDone(Job job, int computed, long now) {
		PrefillWorker p = job.prefill;
		if (p != null) {
			p.finishPrefill(job.attempt, job.promptTokens(), computed, now - job.stageSince, now);
			long ttl = (p.worker().kvTtlMs() > 0) ? p.worker().kvTtlMs() : Long.MAX_VALUE / 4;
			job.kvUntil = now + Math.max(1, ttl - this.settings.kvExpiryMarginMs());
			this.timers.add(job, job.kvUntil - KV_URGENT_MS);
			this.timers.add(job, job.kvUntil);
		}
		enter(job, Stage.KV_READY, now);
	}

	void startTransfer(Job job, DecodeWorker d, long now) {
		PrefillWorker p = job.prefill;
		if (p == null) {
			return;
		}
		unreserve(job);
		job.decode = d;
		d.adjustHeldSlots(1);
		if (job.suspect) {
			d.adjustSuspects(1);
		}
		job.transferMs = d.startTransfer(job.promptTokens(), now);
		enter(job, Stage.TRANSFERRING, now);
		if (this.settings.isEnabled(CellFeature.STALL_DETECTION)) {
			this.timers.add(job, stallAt(d));
		}
		this.out.accept(new CellAction.StartTransfer(job.request.id(), job.attempt, p.id(), d.id()));
	}

	long stallAt(DecodeWorker d) {
		return (long) Math.ceil(d.stallDeadline(this.settings.minStallMarginMs()));
	}

	void startDecode(Job job, long now) {
		DecodeWorker d = job.decode;
		PrefillWorker p = job.prefill;
		if (d == null || p == null) {
			return;
		}
		d.completeTransfer(job.transferMs, now - job.stageSince, now);
		enter(job, Stage.DECODING, now);
		job.everDecoded = true;
		job.decodedHere = 0;
		this.out.accept(new CellAction.StartDecode(job.request.id(), job.attempt, d.id()));
		this.out.accept(new CellAction.ReleaseKv(job.request.id(), job.attempt, p.id()));
		job.prefill = null;
	}

	// Gives up a transfer that makes no progress or whose decode worker was lost; the KV
	// cache waits again.
	void transferAgain(Job job, long now) {
		DecodeWorker d = job.decode;
		PrefillWorker p = job.prefill;
		if (d == null || p == null) {
			return;
		}
		this.out.accept(new CellAction.CancelTransfer(job.request.id(), job.attempt, p.id(), d.id()));
		letGo(job, now);
		long ttl = p.worker().kvTtlMs();
		job.kvUntil = now + Math.max(1, ((ttl > 0) ? ttl : Long.MAX_VALUE / 4) - this.settings.kvExpiryMarginMs());
		this.timers.add(job, job.kvUntil);
		enter(job, Stage.KV_READY, now);
	}

	// Ends a request whose answer is complete.
	void complete(Job job, long now) {
		letGo(job, now);
		end(job, now);
	}

	// Ends a request whose caller has gone, or that is refused.
	void abandon(Job job, long now) {
		release(job, now);
		end(job, now);
	}

	void refuse(Job job, Refusal refusal, long now) {
		abandon(job, now);
		this.out.accept(new CellAction.Refuse(job.request.id(), refusal));
	}

	// Ends a request with the outcome that is true of it.
	void refuse(Job job, RefusalCode code, String detail, long retryAfterMs, long now) {
		boolean run = job.everDecoded;
		refuse(job, run ? Refusal.unknown(code, detail) : Refusal.notRun(code, detail, retryAfterMs), now);
	}

	// Queues a request again after its attempt failed, or ends it if no try is left.
	void retry(Job job, RefusalCode cause, long now) {
		if (!job.mayRunAgain()) {
			refuse(job, RefusalCode.OUTCOME_UNKNOWN, "The worker was lost; the request may have been run.", 0, now);
			return;
		}
		if (job.tries >= this.settings.maxAttempts() || now >= job.request.deadlineAt()) {
			refuse(job, cause, "The request failed and no try is left.", 0, now);
			return;
		}
		if (!this.budget.tryRetry(job.customer(), now)) {
			refuse(job, RefusalCode.RETRY_BUDGET, "The customer's retries are used up.", 1000, now);
			return;
		}
		release(job, now);
		enter(job, Stage.QUEUED, now);
		job.notBefore = (job.tries > 1) ? now + Backoff.DEFAULT.delay(job.tries - 1, this.random) : now;
		this.timers.add(job, job.notBefore);
		this.queue.add(job);
	}

	// Frees all that is held for a request and cancels what runs for it.
	void release(Job job, long now) {
		cancelRunning(job);
		if (job.stage == Stage.QUEUED) {
			this.queue.remove(job);
		}
		else {
			giveBack(job, now);
		}
		letGo(job, now);
		this.jobs.endAttempt(job);
		job.prefill = null;
		job.prefillLost = false;
	}

	// Marks the prefill worker as lost, so that nothing is cancelled there.
	void lostPrefill(Job job) {
		job.prefillLost = true;
	}

	void lostDecode(Job job, long now) {
		letGo(job, now);
	}

	// Notes that a request ran on a worker that crashed.
	long atCrash(Job job) {
		job.crashes++;
		job.provenAfter = job.decodedHere + 2;
		if (job.crashes == 1) {
			job.provenAfter = Math.min(job.provenAfter, this.settings.suspectClearTokens());
		}
		return job.request.fingerprint();
	}

	// Were suspects kept apart until they complete, twenty innocent requests of a crashed
	// worker would run one after the other and miss their deadlines. A request that
	// crashes a worker does so again at the same point; one that ran past it is cleared,
	// so that it casts no doubt on the next crash either. One that is at a second crash
	// after all has to run past its own point before it is cleared again.
	boolean clearIfProven(Job job) {
		DecodeWorker d = job.decode;
		if (!job.suspect || d == null || job.decodedHere < job.provenAfter) {
			return false;
		}
		d.adjustSuspects(-1);
		job.suspect = false;
		return true;
	}

	void reserve(Job job, DecodeWorker d) {
		unreserve(job);
		job.decode = d;
		d.adjustReservedSlots(1);
		if (job.suspect) {
			d.adjustReservedSuspects(1);
		}
	}

	private void cancelRunning(Job job) {
		String id = job.request.id();
		PrefillWorker p = job.prefill;
		DecodeWorker d = job.decode;
		if (job.stage == Stage.PREFILLING && p != null && !job.prefillLost) {
			p.abortPrefill(job.attempt);
			this.out.accept(new CellAction.CancelPrefill(id, job.attempt, p.id()));
		}
		if (job.stage == Stage.TRANSFERRING && p != null && d != null) {
			this.out.accept(new CellAction.CancelTransfer(id, job.attempt, p.id(), d.id()));
		}
		if (job.stage == Stage.DECODING && d != null) {
			this.out.accept(new CellAction.CancelDecode(id, job.attempt, d.id()));
		}
		if ((job.stage == Stage.KV_READY || job.stage == Stage.TRANSFERRING) && p != null && !job.prefillLost) {
			this.out.accept(new CellAction.ReleaseKv(id, job.attempt, p.id()));
		}
	}

	private void giveBack(Job job, long now) {
		// A request that ends early has not used what its customer was charged.
		if (job.stage == Stage.PREFILLING && job.charged > 0) {
			double used = Math.min(job.charged, now - job.stageSince);
			this.queue.charge(job.flow(), used - job.charged);
		}
		job.charged = 0;
	}

	private void letGo(Job job, long now) {
		DecodeWorker d = job.decode;
		if (d == null) {
			return;
		}
		if (job.stage == Stage.TRANSFERRING || job.stage == Stage.DECODING) {
			d.adjustHeldSlots(-1);
			if (job.stage == Stage.TRANSFERRING) {
				d.endTransfer(job.transferMs, now);
			}
			if (job.suspect) {
				d.adjustSuspects(-1);
			}
			job.decode = null;
		}
		else {
			unreserve(job);
		}
	}

	private void unreserve(Job job) {
		DecodeWorker d = job.decode;
		if (d == null) {
			return;
		}
		d.adjustReservedSlots(-1);
		if (job.suspect) {
			d.adjustReservedSuspects(-1);
		}
		job.decode = null;
	}

	private void end(Job job, long now) {
		enter(job, Stage.ENDED, now);
		this.jobs.endAttempt(job);
		this.jobs.remove(job);
	}

	private void enter(Job job, Stage stage, long now) {
		this.jobs.enter(job, stage);
		job.stageSince = now;
	}

}
