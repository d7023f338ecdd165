package io.shallotspur.platform.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The requests, and the parts of prompts, that crash workers, with the crashes of each
 * and what reaches workers afterwards. Thread-safe.
 */
final class CrashingRequests {

	/** The body of a response that refuses such a request. */
	static final String REFUSAL = "crashes-workers";

	private static final int TOLERATED_CRASHES = 3;

	private static final int TOLERATED_CRASHES_OF_PARTS = 5;

	// In ms. Sound streams are served again from this long after the last tolerated
	// crash.
	private static final long SETTLED_MS = 6_000;

	private static final int TOLERATED_RESENDS = 3;

	// In ms. Resends count from this long after the last tolerated crash, and after the
	// end of a
	// disturbance of the VMs or the store.
	private static final long REACTION_MS = 3_000;

	// By the body of the request or the id of the part.
	private final Map<String, History> histories = new HashMap<>();

	synchronized void onCrash(String cause, long nowMs) {
		History h = history(cause);
		h.crashes++;
		if (h.crashes <= h.toleratedCrashes) {
			h.lastToleratedAtMs = nowMs;
		}
	}

	/**
	 * Called when requests with a part that crashes workers begin or end to come.
	 * @param part the id of the part
	 * @param comes whether they begin
	 */
	synchronized void onPart(String part, boolean comes) {
		History h = history(part);
		h.toleratedCrashes = TOLERATED_CRASHES_OF_PARTS;
		h.comes = comes;
	}

	/**
	 * Tells whether requests with a part come that should have been found by now.
	 * @param nowMs the current time in milliseconds
	 * @return whether there is such a part
	 */
	synchronized boolean hasSettledPart(long nowMs) {
		return this.histories.values()
			.stream()
			.anyMatch((h) -> h.comes && h.crashes > 0 && nowMs - h.lastToleratedAtMs >= SETTLED_MS);
	}

	/**
	 * Called when such a request reaches a worker.
	 * @param cause its body, or the id of the part
	 * @param undisturbedSinceMs the end of the last disturbance, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return the violation, if there is one
	 */
	synchronized Optional<String> onReceived(String cause, long undisturbedSinceMs, long nowMs) {
		History h = history(cause);
		h.received++;
		boolean counts = h.crashes >= h.toleratedCrashes
				&& nowMs - REACTION_MS > Math.max(h.lastToleratedAtMs, undisturbedSinceMs);
		h.receivedLate += counts ? 1 : 0;
		return (counts && h.receivedLate == TOLERATED_RESENDS + 1)
				? Optional.of("BUDGET cause=" + cause + " crashes=" + h.crashes + " received-late=" + h.receivedLate)
				: Optional.empty();
	}

	private History history(String cause) {
		return this.histories.computeIfAbsent(cause, (c) -> new History());
	}

	synchronized String summary() {
		return "crashing=" + this.histories.values()
			.stream()
			.map((h) -> h.received + "/" + h.crashes + "/" + h.receivedLate)
			.toList();
	}

	/**
	 * What is known of one request or part.
	 */
	private static final class History {

		private int crashes;

		private int toleratedCrashes = TOLERATED_CRASHES;

		// When the last of the tolerated crashes was, or the last one if there were
		// fewer.
		private long lastToleratedAtMs;

		// Whether requests with the part come at present; not for a request.
		private boolean comes;

		private int received;

		private int receivedLate;

	}

}
