package io.shallotspur.platform.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What reaches a worker that has named a limit. Thread-safe.
 */
final class LimitedWorker {

	// From so long after a worker first names its limit it is held to, ms.
	private static final long SETTLING_MS = 3_000;

	// A VM is bound so long after its first request there: an answer takes a tenth of a
	// second, and half a second later it binds, ms.
	private static final long NOTICE_MS = 1_000;

	// A VM that was struck is bound again after so long, ms.
	private static final long EXCUSED_MS = 3_000;

	private static final long WINDOW_MS = 4_000;

	private static final double TOLERATED = 1.5;

	private static final int BESIDE = 5;

	private final double perSecond;

	private final long sinceMs;

	private final Map<String, Long> bindsFrom = new HashMap<>();

	private final Deque<Reached> reached = new ArrayDeque<>();

	LimitedWorker(double perSecond, long sinceMs) {
		this.perSecond = perSecond;
		this.sinceMs = sinceMs;
	}

	/**
	 * A VM is killed, stopped or cut off, or has just been.
	 * @param vm the VM
	 * @param nowMs the present time in milliseconds
	 */
	synchronized void struck(String vm, long nowMs) {
		this.bindsFrom.put(vm, nowMs + EXCUSED_MS);
		this.reached.removeIf((r) -> r.vm().equals(vm));
	}

	/**
	 * Takes that a request reaches the worker.
	 * @param vm the VM that its caller sent it to
	 * @param nowMs the present time in milliseconds
	 * @return what is broken, if anything
	 */
	synchronized Optional<String> reached(String vm, long nowMs) {
		long binds = Math.max(this.bindsFrom.computeIfAbsent(vm, (v) -> nowMs + NOTICE_MS), this.sinceMs + SETTLING_MS);
		if (nowMs < binds) {
			return Optional.empty();
		}
		this.reached.addLast(new Reached(vm, nowMs));
		this.reached.removeIf((r) -> r.atMs() <= nowMs - WINDOW_MS);
		double most = TOLERATED * this.perSecond * WINDOW_MS / 1_000 + BESIDE;
		int n = this.reached.size();
		return (n > most) ? Optional.of("reached=" + n + " most=" + most) : Optional.empty();
	}

	private record Reached(String vm, long atMs) {

	}

}
