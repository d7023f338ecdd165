package io.shallotspur.routing;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * State of one decode worker: held and reserved slots, the backlog of its link, its
 * estimated step time, and whether transfers to it have stalled.
 * <p>
 * Invariant: {@code heldSlots + reservedSlots} counts each request of this scheduler that
 * is assigned to the worker exactly once. Not thread-safe.
 */
public final class DecodeWorker {

	private static final double TYPICAL_BATCH = 16;

	private static final double STEP_TIME_DECAY = 0.995;

	private static final double MIN_STALL_AVOIDANCE_MS = 1000;

	private static final double MAX_STALL_AVOIDANCE_MS = 8000;

	private static final double DEVIATION_GAIN = 0.25;

	private final Worker worker;

	private final LinearFit stepTime;

	private boolean draining;

	private int heldSlots;

	private int reservedSlots;

	private int suspectCount;

	private int reservedSuspectCount;

	private int otherOwnerRequests;

	private int slotLimit = Integer.MAX_VALUE;

	private int peakHeldSlots;

	private double linkFreeAt;

	private int activeTransfers;

	private double outstandingMs;

	private double lastProgressAt;

	private boolean lastStartedAlone;

	private double transferTimeFactor = 1;

	private double transferDeviation = 0.25;

	private double avoidUntil;

	private double avoidanceMs = MIN_STALL_AVOIDANCE_MS;

	/**
	 * Creates the state of a worker that has just started.
	 * @param worker the worker
	 * @param priorStepMs the expected duration of a step with one request, in
	 * milliseconds
	 * @param priorStepMsPerRequest the expected increase for each request in the batch,
	 * in milliseconds
	 */
	public DecodeWorker(Worker worker, double priorStepMs, double priorStepMsPerRequest) {
		if (worker.role() != WorkerRole.DECODE) {
			throw new IllegalArgumentException("not a decode worker: " + worker.id());
		}
		this.worker = worker;
		this.stepTime = new LinearFit(priorStepMs, priorStepMsPerRequest, TYPICAL_BATCH, STEP_TIME_DECAY);
	}

	/**
	 * Returns the worker.
	 * @return the worker
	 */
	public Worker worker() {
		return this.worker;
	}

	/**
	 * Returns the identifier of the worker.
	 * @return the identifier
	 */
	public String id() {
		return this.worker.id();
	}

	/**
	 * Returns whether the worker is draining.
	 * @return {@code true} if it accepts no new work
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Limits the number of slots that this scheduler may use.
	 * @param maxSlots the maximum number of slots
	 */
	public void setSlotLimit(int maxSlots) {
		this.slotLimit = maxSlots;
	}

	/**
	 * Marks the worker as draining.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Returns whether a transfer to the worker may be started.
	 * @param now the current time in milliseconds
	 * @return {@code false} if the worker is draining, or avoided after a stall
	 */
	public boolean isAvailable(long now) {
		return !this.draining && now >= this.avoidUntil;
	}

	/**
	 * Returns the maximum number of requests for which the step time stays within the
	 * target.
	 * @param tbtMs the tightest target for the time between tokens, in milliseconds
	 * @return the number of requests, at least 1
	 */
	public int maxRequests(double tbtMs) {
		double maxBatch = this.stepTime.maxXWithin(tbtMs);
		int slots = (this.worker.slots() > 0) ? this.worker.slots() : Integer.MAX_VALUE;
		return (int) Math.max(1, Math.min(slots, maxBatch));
	}

	/**
	 * Returns the number of currently free slots. Reserved slots count as free.
	 * @param tbtMs the tightest target for the time between tokens, in milliseconds
	 * @return the number of slots; negative if the held slots exceed the slot limit or,
	 * together with the requests of another owner, the maximum number of requests
	 */
	public int freeSlots(double tbtMs) {
		return Math.min(maxRequests(tbtMs) - this.otherOwnerRequests, this.slotLimit) - this.heldSlots;
	}

	/**
	 * Returns the number of requests of this scheduler that hold memory on the worker,
	 * including those whose transfer is in progress.
	 * @return the number of requests
	 */
	public int heldSlots() {
		return this.heldSlots;
	}

	/**
	 * Returns the number of slots reserved for requests whose prefill is not complete or
	 * whose transfer has not started.
	 * @return the number of reservations
	 */
	public int reservedSlots() {
		return this.reservedSlots;
	}

	/**
	 * Returns the number of requests holding memory on the worker that are suspected of
	 * crashing workers.
	 * @return the number of requests
	 */
	public int suspectCount() {
		return this.suspectCount;
	}

	/**
	 * Adjusts the number of suspected requests that hold memory.
	 * @param delta 1 or -1
	 */
	public void adjustSuspects(int delta) {
		this.suspectCount += delta;
	}

	/**
	 * Returns the number of suspected requests for which a slot is reserved.
	 * @return the number of requests
	 */
	public int reservedSuspectCount() {
		return this.reservedSuspectCount;
	}

	/**
	 * Adjusts the number of suspected requests for which a slot is reserved.
	 * @param delta 1 or -1
	 */
	public void adjustReservedSuspects(int delta) {
		this.reservedSuspectCount += delta;
	}

	/**
	 * Adjusts the number of reserved slots.
	 * @param delta 1 or -1
	 */
	public void adjustReservedSlots(int delta) {
		this.reservedSlots += delta;
	}

	/**
	 * Adjusts the number of requests that hold memory.
	 * @param delta 1 or -1
	 */
	public void adjustHeldSlots(int delta) {
		this.heldSlots += delta;
		this.peakHeldSlots = Math.max(this.peakHeldSlots, this.heldSlots);
	}

	/**
	 * Records a load report. Requests in excess of those of this scheduler belong to
	 * another owner: a previous owner of the cell may still have running requests on the
	 * worker.
	 * @param activeRequests the number of requests reported by the worker
	 */
	public void recordActiveRequests(int activeRequests) {
		this.otherOwnerRequests = Math.max(0, activeRequests - this.peakHeldSlots);
		this.peakHeldSlots = this.heldSlots;
	}

	/**
	 * Updates the step time estimate with a measured step.
	 * @param batchSize the number of requests in the batch
	 * @param stepMs the duration of the step in milliseconds
	 */
	public void observeStep(int batchSize, double stepMs) {
		this.stepTime.observe(batchSize, stepMs);
	}

	/**
	 * Predicts the duration of a step.
	 * @param batchSize the number of requests in the batch
	 * @return the duration in milliseconds
	 */
	public double predictStepMs(int batchSize) {
		return this.stepTime.predict(batchSize);
	}

	/**
	 * Predicts when a transfer would complete if it were requested at a given time.
	 * @param tokens the number of tokens whose KV cache is transferred
	 * @param earliestStart when the transfer may start, in milliseconds
	 * @return the time in milliseconds
	 */
	public double predictTransferEnd(int tokens, double earliestStart) {
		return Math.max(earliestStart, this.linkFreeAt) + predictTransferMs(tokens);
	}

	/**
	 * Predicts the duration of a transfer that does not share the link.
	 * @param tokens the number of tokens whose KV cache is transferred
	 * @return the duration in milliseconds
	 */
	public double predictTransferMs(int tokens) {
		return nominalTransferMs(tokens) * this.transferTimeFactor;
	}

	/**
	 * Returns whether no transfer to the worker is in progress.
	 * @return whether the link is idle
	 */
	public boolean isLinkIdle() {
		return this.activeTransfers == 0;
	}

	/**
	 * Starts a transfer and adds it to the backlog of the link.
	 * @param tokens the number of tokens whose KV cache is transferred
	 * @param now the current time in milliseconds
	 * @return the predicted duration without sharing the link, in milliseconds
	 */
	public double startTransfer(int tokens, long now) {
		double predictedMs = predictTransferMs(tokens);
		if (this.activeTransfers == 0) {
			this.lastProgressAt = now;
		}
		this.activeTransfers++;
		this.lastStartedAlone = this.activeTransfers == 1;
		this.outstandingMs += predictedMs;
		this.linkFreeAt = Math.max(now, this.linkFreeAt) + predictedMs;
		return predictedMs;
	}

	/**
	 * Records the successful end of a transfer. This also shows that the link works and
	 * ends the avoidance after a stall.
	 * @param predictedMs the value returned by {@link #startTransfer}
	 * @param actualMs the actual duration in milliseconds
	 * @param now the current time in milliseconds
	 */
	public void completeTransfer(double predictedMs, double actualMs, long now) {
		if (this.lastStartedAlone && predictedMs > 0) {
			double ratio = Math.min(4, actualMs / predictedMs);
			this.transferDeviation += DEVIATION_GAIN * (Math.abs(ratio - 1) - this.transferDeviation);
			this.transferTimeFactor = Math.max(0.1, this.transferTimeFactor * (1 + 0.1 * (ratio - 1)));
		}
		endTransfer(predictedMs, now);
		this.lastProgressAt = now;
		this.avoidanceMs = MIN_STALL_AVOIDANCE_MS;
		this.avoidUntil = 0;
	}

	/**
	 * Records the end of a transfer that was cancelled or failed.
	 * @param predictedMs the value returned by {@link #startTransfer}
	 * @param now the current time in milliseconds
	 */
	public void endTransfer(double predictedMs, long now) {
		this.activeTransfers--;
		this.outstandingMs = (this.activeTransfers > 0) ? Math.max(0, this.outstandingMs - predictedMs) : 0;
		this.linkFreeAt = now + this.outstandingMs;
	}

	/**
	 * Returns when the active transfers are considered stalled if none of them completes.
	 * A working link completes at least one transfer in the time that it takes to move
	 * the data of all of them, regardless of their order.
	 * @param minGraceMs the minimum time allowed beyond the prediction, in milliseconds
	 * @return the time in milliseconds
	 */
	public double stallDeadline(double minGraceMs) {
		return this.lastProgressAt + this.outstandingMs * (1 + 4 * this.transferDeviation) + minGraceMs;
	}

	/**
	 * Records a stall of the transfers. The worker is avoided for a period that doubles
	 * with each stall, up to a maximum.
	 * @param now the current time in milliseconds
	 */
	public void recordStall(long now) {
		if (now < this.avoidUntil) {
			return;
		}
		this.avoidUntil = now + this.avoidanceMs;
		this.avoidanceMs = Math.min(MAX_STALL_AVOIDANCE_MS, this.avoidanceMs * 2);
	}

	private double nominalTransferMs(int tokens) {
		if (this.worker.linkMbPerS() <= 0) {
			return 0;
		}
		return tokens * this.worker.kvMbPerToken() * 1000 / this.worker.linkMbPerS();
	}

}
