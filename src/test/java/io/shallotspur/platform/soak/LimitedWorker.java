package io.shallotspur.platform.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * What reaches a worker that has named a limit. Thread-safe.
 */
final class LimitedWorker {

	// From so long after a worker first names its limit it is held to, ms.
	private static final long SETTLING_MS = 3_000;

	private static final long WINDOW_MS = 4_000;

	private static final double TOLERATED = 1.5;

	private static final int BESIDE = 5;

	private final double perSecond;

	private final long sinceMs;

	private final Deque<Long> reached = new ArrayDeque<>();

	LimitedWorker(double perSecond, long sinceMs) {
		this.perSecond = perSecond;
		this.sinceMs = sinceMs;
	}

	/**
	 * Takes that a request reaches the worker.
	 * @param nowMs the present time in milliseconds
	 * @param calmFromMs since when VMs are held to times, in milliseconds
	 * @return what is broken, if anything
	 */
	synchronized Optional<String> reached(long nowMs, long calmFromMs) {
		this.reached.addLast(nowMs);
		long from = Math.max(this.sinceMs + SETTLING_MS, nowMs - WINDOW_MS);
		while (this.reached.peekFirst() < from) {
			this.reached.removeFirst();
			if (this.reached.isEmpty()) {
				return Optional.empty();
			}
		}
		double most = TOLERATED * this.perSecond * WINDOW_MS / 1_000 + BESIDE;
		int n = this.reached.size();
		return (n > most && calmFromMs <= from) ? Optional.of("reached=" + n + " most=" + most) : Optional.empty();
	}

}
