package io.shallotspur.routing;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * The state of one decode worker: slots held and reserved, the queue of its link, its
 * learnt step time, and whether transfers to it have stalled.
 * <p>
 * Invariant: {@code held + reserved} counts each request of this scheduler that names the
 * worker once. Not thread-safe.
 */
public final class DecodeWorker {

	private static final double TYPICAL_BATCH = 16;

	private static final double FIT_MEMORY = 0.995;

	private static final double STALL_AVOID_MS = 1000;

	private static final double STALL_AVOID_MAX_MS = 8000;

	private static final double DEVIATION_GAIN = 0.25;

	private final Worker worker;

	private final LinearFit steps;

	private boolean isDraining;

	private int heldSlots;

	private int reservedSlots;

	private int suspectCount;

	private int reservedSuspectCount;

	private int foreign;

	private int slotLimit = Integer.MAX_VALUE;

	private int peakHeld;

	private double linkFreeAt;

	private int transfers;

	private double outstandingMs;

	private double progressAt;

	private boolean alone;

	private double transferRatio = 1;

	private double transferDeviation = 0.25;

	private double avoidUntil;

	private double avoidMs = STALL_AVOID_MS;

	/**
	 * Creates the state of a worker that came up empty.
	 * @param worker the worker
	 * @param priorStepMs the length of a step expected with one request
	 * @param priorStepMsPerRequest what each request in the batch is expected to add
	 */
	public DecodeWorker(Worker worker, double priorStepMs, double priorStepMsPerRequest) {
		if (worker.role() != WorkerRole.DECODE) {
			throw new IllegalArgumentException("not a decode worker: " + worker.id());
		}
		this.worker = worker;
		this.steps = new LinearFit(priorStepMs, priorStepMsPerRequest, TYPICAL_BATCH, FIT_MEMORY);
	}

	/**
	 * Returns the worker.
	 * @return the worker
	 */
	public Worker worker() {
		return this.worker;
	}

	/**
	 * Returns its identifier.
	 * @return the identifier
	 */
	public String id() {
		return this.worker.id();
	}

	/**
	 * Returns whether it is leaving.
	 * @return {@code true} if it takes no new work
	 */
	public boolean isDraining() {
		return this.isDraining;
	}

	/**
	 * Limits the slots that this scheduler may use.
	 * @param most the most slots
	 */
	public void setSlotLimit(int most) {
		this.slotLimit = most;
	}

	/**
	 * Marks it as leaving.
	 */
	public void drain() {
		this.isDraining = true;
	}

	/**
	 * Returns whether a transfer to it may be started.
	 * @param now the present time in milliseconds
	 * @return {@code false} if it is leaving, or avoided after a stall
	 */
	public boolean isAvailable(long now) {
		return !this.isDraining && now >= this.avoidUntil;
	}

	/**
	 * Returns the requests it may hold, so that a step stays within the targets.
	 * @param tbtMs the tightest target for the gap between tokens
	 * @return the limit, at least 1
	 */
	public int maxRequests(double tbtMs) {
		double fit = this.steps.largestWithin(tbtMs);
		int slots = (this.worker.slots() > 0) ? this.worker.slots() : Integer.MAX_VALUE;
		return (int) Math.max(1, Math.min(slots, fit));
	}

	/**
	 * Returns the slots free at this moment, reservations not counted.
	 * @param tbtMs the tightest target for the gap between tokens
	 * @return the free slots; negative if the limit has shrunk
	 */
	public int freeSlots(double tbtMs) {
		return Math.min(maxRequests(tbtMs) - this.foreign, this.slotLimit) - this.heldSlots;
	}

	/**
	 * Returns the requests of this scheduler that hold memory here, those in transfer
	 * among them.
	 * @return the number of requests
	 */
	public int heldSlots() {
		return this.heldSlots;
	}

	/**
	 * Returns the reservations of requests whose prefill is not yet done or whose
	 * transfer has not begun.
	 * @return the number of reservations
	 */
	public int reservedSlots() {
		return this.reservedSlots;
	}

	/**
	 * Returns the suspects that hold memory here.
	 * @return the number of suspects
	 */
	public int suspectCount() {
		return this.suspectCount;
	}

	/**
	 * Adds or takes away a suspect.
	 * @param n 1 or -1
	 */
	public void adjustSuspects(int n) {
		this.suspectCount += n;
	}

	/**
	 * Returns the suspects for which a slot is reserved here.
	 * @return the number of suspects
	 */
	public int reservedSuspectCount() {
		return this.reservedSuspectCount;
	}

	/**
	 * Adds or takes away a suspect for which a slot is reserved.
	 * @param n 1 or -1
	 */
	public void adjustReservedSuspects(int n) {
		this.reservedSuspectCount += n;
	}

	/**
	 * Adds or takes away a reservation.
	 * @param n 1 or -1
	 */
	public void adjustReservedSlots(int n) {
		this.reservedSlots += n;
	}

	/**
	 * Adds or takes away a request that holds memory.
	 * @param n 1 or -1
	 */
	public void adjustHeldSlots(int n) {
		this.heldSlots += n;
		this.peakHeld = Math.max(this.peakHeld, this.heldSlots);
	}

	/**
	 * Takes a load report. What the worker held beyond our own is another owner's: it
	 * occurs while a former owner of the cell still has work there.
	 * @param active the requests the worker said it held
	 */
	public void recordActiveRequests(int active) {
		this.foreign = Math.max(0, active - this.peakHeld);
		this.peakHeld = this.heldSlots;
	}

	/**
	 * Learns from a timed step.
	 * @param batch requests in the batch
	 * @param stepMs the length of the step
	 */
	public void observeStep(int batch, double stepMs) {
		this.steps.observe(batch, stepMs);
	}

	/**
	 * Predicts the length of a step.
	 * @param batch requests in the batch
	 * @return milliseconds
	 */
	public double predictStepMs(int batch) {
		return this.steps.predict(batch);
	}

	/**
	 * Predicts when a transfer that is asked for at some time would end.
	 * @param tokens the tokens whose KV cache is moved
	 * @param at when it may begin, in milliseconds
	 * @return the time in milliseconds
	 */
	public double predictTransferEnd(int tokens, double at) {
		return Math.max(at, this.linkFreeAt) + predictTransferMs(tokens);
	}

	/**
	 * Predicts the length of a transfer that has the link to itself.
	 * @param tokens the tokens whose KV cache is moved
	 * @return milliseconds
	 */
	public double predictTransferMs(int tokens) {
		return linkMs(tokens) * this.transferRatio;
	}

	/**
	 * Returns whether no transfer is under way to it.
	 * @return whether its link is idle
	 */
	public boolean isLinkIdle() {
		return this.transfers == 0;
	}

	/**
	 * Starts a transfer and books the link for it.
	 * @param tokens the tokens whose KV cache is moved
	 * @param now the present time in milliseconds
	 * @return its predicted length if it has the link to itself, in milliseconds
	 */
	public double startTransfer(int tokens, long now) {
		double ms = predictTransferMs(tokens);
		if (this.transfers == 0) {
			this.progressAt = now;
		}
		this.transfers++;
		this.alone = this.transfers == 1;
		this.outstandingMs += ms;
		this.linkFreeAt = Math.max(now, this.linkFreeAt) + ms;
		return ms;
	}

	/**
	 * Ends a transfer that arrived, which also shows that the link works.
	 * @param predictedMs what {@link #startTransfer} returned
	 * @param tookMs its true length
	 * @param now the present time in milliseconds
	 */
	public void completeTransfer(double predictedMs, double tookMs, long now) {
		if (this.alone && predictedMs > 0) {
			double r = Math.min(4, tookMs / predictedMs);
			this.transferDeviation += DEVIATION_GAIN * (Math.abs(r - 1) - this.transferDeviation);
			this.transferRatio = Math.max(0.1, this.transferRatio * (1 + 0.1 * (r - 1)));
		}
		endTransfer(predictedMs, now);
		this.progressAt = now;
		this.avoidMs = STALL_AVOID_MS;
		this.avoidUntil = 0;
	}

	/**
	 * Ends a transfer that was cancelled or failed.
	 * @param predictedMs what {@link #startTransfer} returned
	 * @param now the present time in milliseconds
	 */
	public void endTransfer(double predictedMs, long now) {
		this.transfers--;
		this.outstandingMs = (this.transfers > 0) ? Math.max(0, this.outstandingMs - predictedMs) : 0;
		this.linkFreeAt = now + this.outstandingMs;
	}

	/**
	 * Returns when the transfers under way count as stalled if none of them ends. A link
	 * that works ends one at the latest when it has moved all of them, in whatever order
	 * it does so.
	 * @param floorMs the least patience beyond the prediction
	 * @return the time in milliseconds
	 */
	public double stallDeadline(double floorMs) {
		return this.progressAt + this.outstandingMs * (1 + 4 * this.transferDeviation) + floorMs;
	}

	/**
	 * Notes that transfers stalled: the worker is avoided, for longer each time.
	 * @param now the present time in milliseconds
	 */
	public void recordStall(long now) {
		if (now < this.avoidUntil) {
			return;
		}
		this.avoidUntil = now + this.avoidMs;
		this.avoidMs = Math.min(STALL_AVOID_MAX_MS, this.avoidMs * 2);
	}

	private double linkMs(int tokens) {
		if (this.worker.linkMbPerS() <= 0) {
			return 0;
		}
		return tokens * this.worker.kvMbPerToken() * 1000 / this.worker.linkMbPerS();
	}

}
