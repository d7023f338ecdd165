package io.shallotspur.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The runs at one start of a worker that ended without a complete response, for as long
 * as they may turn out to have been running when the worker crashed. A request that
 * crashes its worker may do so shortly after its run was cancelled. Not thread-safe.
 * <p>
 * Invariant: a run is dropped once the worker has responded to anything later than a
 * crash would have followed; runs are kept for a bounded time, and a bounded number of
 * them.
 */
public final class UnsettledRuns {

	/**
	 * A crash follows the end of the run that caused it within this time, in
	 * milliseconds.
	 */
	public static final long CRASH_DELAY_MS = 500;

	// The end of a worker is known by then: its entry is removed after three heartbeats
	// of about a second, ms.
	private static final long MAX_AGE_MS = 6_000;

	private static final int MAX_RUNS = 256;

	// By fingerprint, in the order of their ends.
	private final Map<Long, UnsettledRun> runs = new LinkedHashMap<>();

	/**
	 * Adds a run that has ended.
	 * @param run the run; replaces an earlier one of the same request
	 */
	public void add(UnsettledRun run) {
		this.runs.remove(run.request().fingerprint());
		this.runs.put(run.request().fingerprint(), run);
		if (this.runs.size() > MAX_RUNS) {
			removeEldest();
		}
	}

	private void removeEldest() {
		Iterator<Long> eldest = this.runs.keySet().iterator();
		eldest.next();
		eldest.remove();
	}

	/**
	 * Drops the run of a request that has completed elsewhere.
	 * @param fingerprint the fingerprint of the request
	 */
	public void remove(long fingerprint) {
		this.runs.remove(fingerprint);
	}

	/**
	 * Drops all runs.
	 */
	public void clear() {
		this.runs.clear();
	}

	/**
	 * Records that the worker has responded to another request.
	 * @param now the present time in milliseconds
	 * @return the runs that are settled by that
	 */
	public List<UnsettledRun> recordSignOfLife(long now) {
		if (this.runs.isEmpty()) {
			return List.of();
		}
		List<UnsettledRun> settled = this.runs.values()
			.stream()
			.filter((r) -> r.endedAt() + CRASH_DELAY_MS < now)
			.toList();
		this.runs.values().removeAll(settled);
		return settled;
	}

	/**
	 * Returns whether there are no runs.
	 * @param now the present time in milliseconds
	 * @return {@code true} if no run is kept
	 */
	public boolean isEmpty(long now) {
		removeExpired(now);
		return this.runs.isEmpty();
	}

	/**
	 * Returns the runs that may have been running when the worker crashed, if it has
	 * crashed since: those that ended within {@link #CRASH_DELAY_MS} of the latest.
	 * @param now the present time in milliseconds
	 * @return the runs, in the order of their ends
	 */
	public List<UnsettledRun> latest(long now) {
		removeExpired(now);
		long last = this.runs.values().stream().mapToLong(UnsettledRun::endedAt).max().orElse(now);
		return this.runs.values().stream().filter((r) -> r.endedAt() >= last - CRASH_DELAY_MS).toList();
	}

	/**
	 * Returns the runs that ended after a time.
	 * @param after the time in milliseconds
	 * @param now the present time in milliseconds
	 * @return the runs, in the order of their ends
	 */
	public List<UnsettledRun> endedAfter(long after, long now) {
		removeExpired(now);
		return this.runs.values().stream().filter((r) -> r.endedAt() > after).toList();
	}

	/**
	 * Returns the fingerprints of runs.
	 * @param runs the runs
	 * @return their fingerprints
	 */
	public static List<Long> fingerprints(Collection<UnsettledRun> runs) {
		return new ArrayList<>(runs.stream().map((r) -> r.request().fingerprint()).toList());
	}

	private void removeExpired(long now) {
		this.runs.values().removeIf((r) -> r.endedAt() + MAX_AGE_MS < now);
	}

}
