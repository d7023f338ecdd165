package io.shallotspur.gateway;

/**
 * A request that waits until a worker with a limit may be sent another one. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: the worker's next request is promised to this one while it waits, so those
 * who come later wait behind it, and each knows at once how long; one of the methods of
 * {@link Listener} that end the wait is called, once, unless it is cancelled.
 */
final class RateLimitWait {

	private final Gateway gateway;

	private final WorkerState worker;

	private final Listener listener;

	private Runnable cancelTimer = () -> {
	};

	/**
	 * Creates a wait that has not begun.
	 * @param gateway the gateway
	 * @param worker the worker
	 * @param listener hears how it ends
	 */
	RateLimitWait(Gateway gateway, WorkerState worker, Listener listener) {
		this.gateway = gateway;
		this.worker = worker;
		this.listener = listener;
	}

	void start(long now) {
		schedule(this.gateway.workerLimits.waitMs(this.worker, now));
	}

	private void schedule(long delayMs) {
		this.worker.limit().reserve();
		this.cancelTimer = this.gateway.timer.schedule(delayMs, this::onTimer);
	}

	private void onTimer() {
		this.worker.limit().releaseReservation();
		long now = this.gateway.clock.getAsLong();
		if (!this.worker.stays(now) || !this.gateway.roster.lives(this.worker.info())) {
			this.listener.onWorkerGone(now);
			return;
		}
		// The limit may have fallen since.
		long remainingMs = this.gateway.workerLimits.reservedWaitMs(this.worker, now);
		if (remainingMs == 0) {
			this.listener.onReady(this.worker, now);
		}
		else if (remainingMs > this.listener.waitDeadline() - now) {
			this.listener.onTooLate(now);
		}
		else {
			schedule(remainingMs);
		}
	}

	/**
	 * Gives the promised request back.
	 */
	void cancel() {
		this.cancelTimer.run();
		this.worker.limit().releaseReservation();
	}

	/**
	 * Hears how a wait ends.
	 */
	interface Listener {

		// Until when the request waits at all, ms.
		long waitDeadline();

		// It is this request's turn.
		void onReady(WorkerState worker, long now);

		// The worker has left or started again.
		void onWorkerGone(long now);

		// The limit has fallen, and the request's turn would come too late.
		void onTooLate(long now);

	}

}
