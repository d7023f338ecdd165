package io.shallotspur.platform.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The requests that crash workers, with the crashes of each and what reaches workers
 * afterwards. Thread-safe.
 */
final class CrashingRequests {

	/** The body of a response that refuses such a request. */
	static final String REFUSAL = "crashes-workers";

	private static final int TOLERATED_CRASHES = 3;

	private static final int TOLERATED_RESENDS = 3;

	// In ms. Resends count from this long after the third crash, and after the end of a
	// disturbance of the VMs or the store.
	private static final long REACTION_MS = 3_000;

	private final Map<String, History> histories = new HashMap<>();

	synchronized void onCrash(String body, long nowMs) {
		History h = history(body);
		h.crashes++;
		if (h.crashes == TOLERATED_CRASHES) {
			h.thirdCrashAtMs = nowMs;
		}
	}

	/**
	 * Called when such a request reaches a worker.
	 * @param body its body
	 * @param undisturbedSinceMs the end of the last disturbance, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return the violation, if there is one
	 */
	synchronized Optional<String> onReceived(String body, long undisturbedSinceMs, long nowMs) {
		History h = history(body);
		h.received++;
		boolean counts = h.crashes >= TOLERATED_CRASHES
				&& nowMs - REACTION_MS > Math.max(h.thirdCrashAtMs, undisturbedSinceMs);
		h.receivedLate += counts ? 1 : 0;
		return (counts && h.receivedLate == TOLERATED_RESENDS + 1)
				? Optional.of("BUDGET body=" + body + " crashes=" + h.crashes + " received-late=" + h.receivedLate)
				: Optional.empty();
	}

	private History history(String body) {
		return this.histories.computeIfAbsent(body, (b) -> new History());
	}

	synchronized String summary() {
		return "crashing=" + this.histories.values()
			.stream()
			.map((h) -> h.received + "/" + h.crashes + "/" + h.receivedLate)
			.toList();
	}

	/**
	 * What is known of one request.
	 */
	private static final class History {

		private int crashes;

		private long thirdCrashAtMs;

		private int received;

		private int receivedLate;

	}

}
