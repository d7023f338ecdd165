package io.shallotspur.gateway;

/**
 * A request that waits until a worker with a limit may be sent another one. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: the worker's next request is promised to this one while it waits, so those
 * who come later wait behind it, and each knows at once how long; one of the methods of
 * {@link Then} that end the wait is called, once, unless it is cancelled.
 */
final class LimitWait {

	private final Gateway g;

	private final WorkerState worker;

	private final Then then;

	private Runnable cancelTimer = () -> {
	};

	/**
	 * Creates a wait that has not begun.
	 * @param g the gateway
	 * @param worker the worker
	 * @param then hears how it ends
	 */
	LimitWait(Gateway g, WorkerState worker, Then then) {
		this.g = g;
		this.worker = worker;
		this.then = then;
	}

	void start(long now) {
		waitFor(this.g.workerLimits.waitMs(this.worker, now));
	}

	private void waitFor(long ms) {
		this.worker.limit().reserve();
		this.cancelTimer = this.g.timer.schedule(ms, this::over);
	}

	private void over() {
		this.worker.limit().unreserve();
		long now = this.g.clock.getAsLong();
		if (!this.worker.stays(now) || !this.g.roster.lives(this.worker.info())) {
			this.then.workerGone(now);
			return;
		}
		// The limit may have fallen since.
		long more = this.g.workerLimits.promisedWaitMs(this.worker, now);
		if (more == 0) {
			this.then.maySend(this.worker, now);
		}
		else if (more > this.then.waitUntil() - now) {
			this.then.tooLate(now);
		}
		else {
			waitFor(more);
		}
	}

	/**
	 * Gives the promised request back.
	 */
	void cancel() {
		this.cancelTimer.run();
		this.worker.limit().unreserve();
	}

	/**
	 * Hears how a wait ends.
	 */
	interface Then {

		// Until when the request waits at all, ms.
		long waitUntil();

		// It is this request's turn.
		void maySend(WorkerState worker, long now);

		// The worker has left or started again.
		void workerGone(long now);

		// The limit has fallen, and the request's turn would come too late.
		void tooLate(long now);

	}

}
