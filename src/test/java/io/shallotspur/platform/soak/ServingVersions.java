package io.shallotspur.platform.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * The versions of the decode workers that serve, and how many streams callers could begin
 * and resume while enough of them did. Thread-safe.
 */
final class ServingVersions {

	// Streams that are resumed before the share of those that go on is checked.
	private static final int MIN_RESUMED = 12;

	private static final double MIN_RATIO = 0.5;

	private static final int MIN_WORKERS = 2;

	// A worker counts as serving from this time on, ms.
	private static final long SETTLED_MS = 3_000;

	private final Map<String, Serving> byWorker = new HashMap<>();

	private int begun;

	private int begunServed;

	private int resumed;

	private int resumedServed;

	/**
	 * Called when a worker begins or ends to serve.
	 * @param worker its name, without the number of its incarnation
	 * @param version its version, or {@code null} if it does not serve
	 * @param nowMs the current time in milliseconds
	 */
	synchronized void onWorker(String worker, @Nullable String version, long nowMs) {
		Serving s = this.byWorker.get(worker);
		if (version == null) {
			this.byWorker.remove(worker);
		}
		else if (s == null || !s.version().equals(version)) {
			this.byWorker.put(worker, new Serving(version, nowMs));
		}
	}

	synchronized boolean hasWorkers(@Nullable String version, long nowMs) {
		return this.byWorker.values()
			.stream()
			.filter((s) -> version == null || s.version().equals(version))
			.filter((s) -> nowMs - s.sinceMs() >= SETTLED_MS)
			.count() >= MIN_WORKERS;
	}

	synchronized void onTried(boolean isResumed, boolean served) {
		if (isResumed) {
			this.resumed++;
			this.resumedServed += served ? 1 : 0;
		}
		else {
			this.begun++;
			this.begunServed += served ? 1 : 0;
		}
	}

	/**
	 * Returns how the rule for resumed streams is broken.
	 * @return a description, or empty if it holds
	 */
	synchronized Optional<String> violation() {
		boolean broken = this.resumed >= MIN_RESUMED && this.begun > 0
				&& (double) this.resumedServed / this.resumed < MIN_RATIO * this.begunServed / this.begun;
		return broken ? Optional.of("LOST " + summary()) : Optional.empty();
	}

	synchronized String summary() {
		return "begun=" + this.begunServed + "/" + this.begun + " resumed=" + this.resumedServed + "/" + this.resumed;
	}

	private record Serving(String version, long sinceMs) {

	}

}
