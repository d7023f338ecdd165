package io.shallotspur.platform.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Checks the request rate at a worker that has set a rate limit. Thread-safe.
 */
final class RateLimitedWorker {

	// In ms. Time after the worker sets its limit before the limit is checked.
	private static final long LIMIT_GRACE_MS = 3_000;

	// In ms. Time after the first request of a VM before its requests are counted: a
	// response takes 100 ms, and the limit must be applied 500 ms later.
	private static final long FIRST_RESPONSE_GRACE_MS = 1_000;

	// In ms. Time after a disturbance of a VM before its requests are counted again.
	private static final long DISTURBANCE_GRACE_MS = 3_000;

	private static final long WINDOW_MS = 4_000;

	private static final double TOLERANCE = 1.5;

	private static final int ALLOWED_BURST = 5;

	private final double limitPerSecond;

	private final long limitedSinceMs;

	private final Map<String, Long> countedFromMsByVm = new HashMap<>();

	private final Deque<ReceivedRequest> recentRequests = new ArrayDeque<>();

	RateLimitedWorker(double limitPerSecond, long limitedSinceMs) {
		this.limitPerSecond = limitPerSecond;
		this.limitedSinceMs = limitedSinceMs;
	}

	/**
	 * Called when a fault that stops, pauses or isolates a VM begins or ends.
	 * @param vm the address of the VM
	 * @param nowMs the current time in milliseconds
	 */
	synchronized void onVmDisturbed(String vm, long nowMs) {
		this.countedFromMsByVm.put(vm, nowMs + DISTURBANCE_GRACE_MS);
		this.recentRequests.removeIf((r) -> r.vm().equals(vm));
	}

	/**
	 * Called when a request reaches the worker.
	 * @param vm the address of the VM that the caller sent the request to
	 * @param nowMs the current time in milliseconds
	 * @return the excess, if the rate limit is violated
	 */
	synchronized Optional<String> onRequestReceived(String vm, long nowMs) {
		long countedFromMs = Math.max(
				this.countedFromMsByVm.computeIfAbsent(vm, (v) -> nowMs + FIRST_RESPONSE_GRACE_MS),
				this.limitedSinceMs + LIMIT_GRACE_MS);
		if (nowMs < countedFromMs) {
			return Optional.empty();
		}
		this.recentRequests.addLast(new ReceivedRequest(vm, nowMs));
		this.recentRequests.removeIf((r) -> r.atMs() <= nowMs - WINDOW_MS);
		double max = TOLERANCE * this.limitPerSecond * WINDOW_MS / 1_000 + ALLOWED_BURST;
		int n = this.recentRequests.size();
		return (n > max) ? Optional.of("received=" + n + " max=" + max) : Optional.empty();
	}

	private record ReceivedRequest(String vm, long atMs) {

	}

}
