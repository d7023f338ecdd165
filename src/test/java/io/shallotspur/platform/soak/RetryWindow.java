package io.shallotspur.platform.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * Checks that the requests that reach one upstream again stay within the retry budget of
 * all VMs together, in any window. Thread-safe.
 */
final class RetryWindow {

	static final double RATIO = 0.2;

	static final int SLACK = 40;

	static final long WINDOW_MS = 10_000;

	private final Deque<Long> sentAtMs = new ArrayDeque<>();

	private final Set<String> received = new HashSet<>();

	private final Deque<Long> repeatedAtMs = new ArrayDeque<>();

	private int mostRepeats;

	private boolean exceeded;

	synchronized void onSent(long nowMs) {
		this.sentAtMs.add(nowMs);
		removeUntil(this.sentAtMs, nowMs - 2 * WINDOW_MS);
	}

	/**
	 * Called when a request reaches a worker of the upstream.
	 * @param id the request id
	 * @param nowMs the current time in milliseconds
	 * @return the violation, if this is the first one
	 */
	synchronized Optional<String> onReceived(String id, long nowMs) {
		if (this.received.add(id)) {
			return Optional.empty();
		}
		this.repeatedAtMs.add(nowMs);
		removeUntil(this.repeatedAtMs, nowMs - WINDOW_MS);
		this.mostRepeats = Math.max(this.mostRepeats, this.repeatedAtMs.size());
		long allowed = (long) (RATIO * mostSent(nowMs)) + SLACK;
		if (this.exceeded || this.repeatedAtMs.size() <= allowed) {
			return Optional.empty();
		}
		this.exceeded = true;
		return Optional.of("BUDGET repeats=" + this.repeatedAtMs.size() + " allowed=" + allowed);
	}

	// The window, the one before it or the one half a window before it, whichever has
	// most.
	private long mostSent(long nowMs) {
		return LongStream.of(0, WINDOW_MS / 2, WINDOW_MS)
			.map((ms) -> this.sentAtMs.stream().filter((at) -> at > nowMs - ms - WINDOW_MS && at <= nowMs - ms).count())
			.max()
			.orElse(0);
	}

	private static void removeUntil(Deque<Long> times, long untilMs) {
		while (!times.isEmpty() && times.peekFirst() <= untilMs) {
			times.removeFirst();
		}
	}

	synchronized int mostRepeats() {
		return this.mostRepeats;
	}

}
