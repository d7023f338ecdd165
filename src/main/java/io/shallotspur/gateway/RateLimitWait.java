package io.shallotspur.gateway;

/**
 * A request that waits until a worker with a rate limit or a pause may be sent another
 * one. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: the waiting request holds a reservation at the worker's rate limiter, so
 * later arrivals queue behind it and the wait of each is known on arrival; exactly one of
 * the {@code on} methods of {@link Listener} is called, unless the wait is cancelled.
 */
final class RateLimitWait {

	private final Gateway gateway;

	private final WorkerState worker;

	private final Listener listener;

	private final Runnable noticeListener = this::onNotice;

	private Runnable cancelTimer = () -> {
	};

	/**
	 * Creates a wait that has not started.
	 * @param gateway the gateway
	 * @param worker the worker
	 * @param listener receives the outcome
	 */
	RateLimitWait(Gateway gateway, WorkerState worker, Listener listener) {
		this.gateway = gateway;
		this.worker = worker;
		this.listener = listener;
	}

	void start(long now) {
		schedule(this.gateway.workerAvailability.waitMs(this.worker, now));
	}

	private void schedule(long delayMs) {
		this.worker.limit().reserve();
		this.worker.addNoticeListener(this.noticeListener);
		this.cancelTimer = this.gateway.timer.schedule(delayMs, this::onTimer);
	}

	// The worker will not take the request when the wait ends.
	private void onNotice() {
		cancel();
		this.listener.onWorkerUnavailable(this.gateway.clock.getAsLong());
	}

	private void onTimer() {
		cancel();
		long now = this.gateway.clock.getAsLong();
		if (!this.worker.isActive(now) || !this.gateway.roster.isCurrentInstance(this.worker.info())
				|| this.worker.pauseRemainingMs(now) > 0) {
			this.listener.onWorkerUnavailable(now);
			return;
		}
		// The limit may have been lowered since the wait was scheduled.
		long remainingMs = this.gateway.workerAvailability.reservedWaitMs(this.worker, now);
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
	 * Cancels the wait and releases its reservation.
	 */
	void cancel() {
		this.cancelTimer.run();
		this.worker.removeNoticeListener(this.noticeListener);
		this.worker.limit().releaseReservation();
	}

	/**
	 * Receives the outcome of a wait.
	 */
	interface Listener {

		// The time until which the request waits at most, ms.
		long waitDeadline();

		// The request may be sent now.
		void onReady(WorkerState worker, long now);

		// The worker has left, restarted or asked for a pause meanwhile.
		void onWorkerUnavailable(long now);

		// The limit was lowered, and the request could not be sent before its deadline.
		void onTooLate(long now);

	}

}
