package io.shallotspur.gateway;

/**
 * Holds this VM to the limits that workers name. Not thread-safe; the present time is an
 * argument.
 */
final class WorkerLimits {

	private final EntryVmDirectory vms;

	private final double phase;

	/**
	 * Creates limits.
	 * @param vms the VMs, with which limits are shared
	 * @param phase a random number from 0 to 1
	 */
	WorkerLimits(EntryVmDirectory vms, double phase) {
		this.vms = vms;
		this.phase = phase;
	}

	boolean admits(WorkerState w, long now) {
		return waitMs(w, now) == 0;
	}

	/**
	 * Returns how long the next request to a worker has to wait.
	 * @param w the worker
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it may be sent, {@link Long#MAX_VALUE} if that is not
	 * known
	 */
	long waitMs(WorkerState w, long now) {
		if (!w.limit().limit().named()) {
			return 0;
		}
		double part = part(w, now);
		long wait = w.limit().waitMs(part, now);
		return (part == 0 && hasTurn(w, now)) ? 0 : wait;
	}

	/**
	 * Returns how long a request has to wait to which the worker's next one is promised.
	 * @param w the worker
	 * @param now the present time in milliseconds
	 * @return as {@link #waitMs}
	 */
	long promisedWaitMs(WorkerState w, long now) {
		return w.limit().limit().named() ? w.limit().reservedWaitMs(part(w, now), now) : 0;
	}

	private double part(WorkerState w, long now) {
		return LimitPart.perSecond(w.limit().limit(), w.info().id(), this.vms, now);
	}

	private boolean hasTurn(WorkerState w, long now) {
		long turn = LimitPart.turn(this.vms, this.phase, now);
		return turn >= 0 && !w.limit().hasUsed(turn);
	}

	// A caller's request, or the prefill of its prompt, goes to a worker.
	void sent(WorkerState w, long now) {
		boolean named = w.limit().limit().named();
		w.limit().sent(named ? LimitPart.turn(this.vms, this.phase, now) : -1);
	}

}
