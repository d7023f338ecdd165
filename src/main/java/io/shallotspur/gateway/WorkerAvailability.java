package io.shallotspur.gateway;

/**
 * Decides when this VM may send its next request to a worker: within the rate limit that
 * the worker reports, and after the pause that it has asked for. Not thread-safe; the
 * present time is an argument.
 */
final class WorkerAvailability {

	private final EntryVmDirectory vms;

	private final double phase;

	/**
	 * Creates an instance for the workers of this VM.
	 * @param vms the VMs that share the limits
	 * @param phase a random number from 0 to 1, the phase of this VM's probe windows
	 */
	WorkerAvailability(EntryVmDirectory vms, double phase) {
		this.vms = vms;
		this.phase = phase;
	}

	boolean admits(WorkerState worker, long now) {
		return waitMs(worker, now) == 0;
	}

	/**
	 * Returns how long the next request to a worker has to wait.
	 * @param worker the worker
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it may be sent now, {@link Long#MAX_VALUE} if the wait
	 * is not known
	 */
	long waitMs(WorkerState worker, long now) {
		return Math.max(worker.pauseRemainingMs(now), limitWaitMs(worker, now));
	}

	private long limitWaitMs(WorkerState worker, long now) {
		if (!worker.limit().limit().isLimited()) {
			return 0;
		}
		double share = share(worker, now);
		long wait = worker.limit().waitMs(share, now);
		return (share == 0 && mayProbe(worker, now)) ? 0 : wait;
	}

	/**
	 * Returns the remaining wait of the request that holds the worker's next reservation.
	 * @param worker the worker
	 * @param now the present time in milliseconds
	 * @return as for {@link #waitMs}
	 */
	long reservedWaitMs(WorkerState worker, long now) {
		long limitWait = worker.limit().limit().isLimited() ? worker.limit().reservedWaitMs(share(worker, now), now)
				: 0;
		return Math.max(worker.pauseRemainingMs(now), limitWait);
	}

	private double share(WorkerState worker, long now) {
		return RateLimitShare.perSecond(worker.limit().limit(), worker.info().id(), this.vms, now);
	}

	private boolean mayProbe(WorkerState worker, long now) {
		long window = RateLimitShare.probeWindow(this.vms, this.phase, now);
		return window >= 0 && !worker.limit().hasProbedIn(window);
	}

	// Records that a caller's request, or the prefill of its prompt, is sent to a worker.
	void recordSent(WorkerState worker, long now) {
		boolean limited = worker.limit().limit().isLimited();
		worker.limit().recordSent(limited ? RateLimitShare.probeWindow(this.vms, this.phase, now) : -1);
	}

}
