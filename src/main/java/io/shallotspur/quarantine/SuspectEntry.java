package io.shallotspur.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * The crash history of one request that was running on crashed workers, or of a part of
 * the prompts of such requests. Immutable.
 * <p>
 * Invariant: crashes are sorted by time; only the latest {@link #MAX_CRASHES} are kept.
 *
 * @param fingerprint the fingerprint of the request or the part
 * @param crashes the crashes at which the request was running on the worker
 */
public record SuspectEntry(long fingerprint, List<Crash> crashes) {

	/**
	 * The maximum number of crashes kept for one request.
	 */
	public static final int MAX_CRASHES = 6;

	public SuspectEntry {
		List<Crash> sorted = new ArrayList<>(crashes);
		sorted.sort(Comparator.comparingLong(Crash::at).thenComparing(Crash::worker));
		crashes = List.copyOf(sorted.subList(Math.max(0, sorted.size() - MAX_CRASHES), sorted.size()));
	}

	/**
	 * Returns whether the request may have caused a crash.
	 * @return {@code true} if at least one crash is not cleared
	 */
	public boolean suspect() {
		return this.crashes.stream().anyMatch((c) -> c.state() != CrashState.CLEARED);
	}

	/**
	 * Returns whether the request is refused.
	 * @return {@code true} if the request is considered the cause of a crash
	 */
	public boolean quarantined() {
		return this.crashes.stream().anyMatch((c) -> c.state() == CrashState.CONVICTED);
	}

	/**
	 * Returns the number of crashes that are not cleared.
	 * @return the number of crashes
	 */
	public int unclearedCrashCount() {
		return (int) this.crashes.stream().filter((c) -> c.state() != CrashState.CLEARED).count();
	}

	/**
	 * Returns the number of crashes at which nothing speaks for the request.
	 * @return the number of crashes in the lowest state
	 */
	public int openCrashCount() {
		return (int) this.crashes.stream().filter((c) -> c.state() == CrashState.OPEN).count();
	}

	/**
	 * Returns whether the request was running at a crash.
	 * @param crash the crash
	 * @param windowMs the largest difference between the times of two observations of one
	 * crash, in milliseconds
	 * @return {@code true} if this entry has an observation of the crash
	 */
	public boolean wasPresentAt(Crash crash, long windowMs) {
		return this.crashes.stream().anyMatch((c) -> c.matches(crash, windowMs));
	}

	/**
	 * Returns this entry with all times shifted, to convert them to another clock.
	 * @param ms the milliseconds to add
	 * @return a new entry
	 */
	public SuspectEntry shiftedBy(long ms) {
		return new SuspectEntry(this.fingerprint,
				this.crashes.stream().map((c) -> new Crash(c.worker(), c.at() + ms, c.state())).toList());
	}

	/**
	 * Returns the time of the last crash.
	 * @return the time in milliseconds, or {@link Long#MIN_VALUE} if there is no crash
	 */
	public long lastCrashAt() {
		return this.crashes.isEmpty() ? Long.MIN_VALUE : this.crashes.get(this.crashes.size() - 1).at();
	}

	/**
	 * Returns the time of the first crash that is not cleared.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if there is none
	 */
	public long firstUnclearedCrashAt() {
		return this.crashes.stream()
			.filter((c) -> c.state() != CrashState.CLEARED)
			.mapToLong(Crash::at)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns this entry with a crash added.
	 * @param crash the crash
	 * @return a new entry
	 */
	public SuspectEntry withCrash(Crash crash) {
		List<Crash> added = new ArrayList<>(this.crashes);
		added.add(crash);
		return new SuspectEntry(this.fingerprint, added);
	}

	/**
	 * Returns this entry with its last crash attributed to the request.
	 * @return a new entry
	 */
	public SuspectEntry withLastCrashAttributed() {
		List<Crash> updated = new ArrayList<>(this.crashes);
		updated.set(updated.size() - 1, updated.get(updated.size() - 1).withMinimumState(CrashState.CONVICTED));
		return new SuspectEntry(this.fingerprint, updated);
	}

	/**
	 * Returns this entry with every lower state raised to the given one.
	 * @param state the lowest state of a crash in the result
	 * @return a new entry
	 */
	public SuspectEntry withMinimumState(CrashState state) {
		return withMinimumStates((c) -> state);
	}

	/**
	 * Returns this entry with each state raised to one that depends on the crash.
	 * @param minimumState returns the lowest state of a crash in the result
	 * @return this instance if nothing changes, otherwise a new one
	 */
	public SuspectEntry withMinimumStates(Function<Crash, CrashState> minimumState) {
		SuspectEntry e = new SuspectEntry(this.fingerprint,
				this.crashes.stream().map((c) -> c.withMinimumState(minimumState.apply(c))).toList());
		return e.equals(this) ? this : e;
	}

	/**
	 * Counts the crashes before a given one. Others at the same time count, too: a node
	 * that has just started may have learned of all of them at once.
	 * @param crash the crash to compare with
	 * @param maxState the highest state of the crashes that are counted
	 * @param windowMs the largest difference between the times of two observations of one
	 * crash, in milliseconds
	 * @return the number of crashes; 0 if the request was not present at the given crash
	 */
	public long countCrashesBefore(Crash crash, CrashState maxState, long windowMs) {
		long at = this.crashes.stream()
			.filter((c) -> c.matches(crash, windowMs))
			.mapToLong(Crash::at)
			.max()
			.orElse(Long.MIN_VALUE);
		return this.crashes.stream()
			.filter((c) -> c.at() < at || (c.at() == at && !c.worker().equals(crash.worker())))
			.filter((c) -> c.state().compareTo(maxState) <= 0)
			.count();
	}

	/**
	 * Merges the entries of two nodes. Idempotent and, apart from the bound on the number
	 * of crashes, independent of the order in which entries arrive.
	 * @param other the other node's entry for the same request
	 * @param windowMs the largest difference between the times of two observations of one
	 * crash, in milliseconds
	 * @return this instance if the other entry adds nothing, otherwise a new one
	 */
	public SuspectEntry merge(SuspectEntry other, long windowMs) {
		List<Crash> merged = new ArrayList<>(this.crashes);
		for (Crash c : other.crashes) {
			int i = indexOfMatch(merged, c, other.crashes, windowMs);
			if (i < 0) {
				merged.add(c);
			}
			else {
				merged.set(i, merged.get(i).withMinimumState(c.state()));
			}
		}
		SuspectEntry e = new SuspectEntry(this.fingerprint, merged);
		return e.equals(this) ? this : e;
	}

	private static int indexOfMatch(List<Crash> ours, Crash crash, List<Crash> theirs, long windowMs) {
		for (int i = 0; i < ours.size(); i++) {
			if (ours.get(i).matches(crash, 0)) {
				return i;
			}
		}
		for (int i = 0; i < ours.size(); i++) {
			Crash our = ours.get(i);
			// A crash that the other node lists separately is another crash of the same
			// worker, however close in time.
			if (our.matches(crash, windowMs) && theirs.stream().noneMatch((c) -> c.matches(our, 0))) {
				return i;
			}
		}
		return -1;
	}

}
