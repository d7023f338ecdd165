package io.shallotspur.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What is known of one request that was on crashed workers. Immutable.
 * <p>
 * Invariant: crashes are in order of their times and at most {@link #MAX_CRASHES}, the
 * latest ones.
 *
 * @param fingerprint hash of the customer and the body
 * @param crashes the crashes it was present at
 */
public record SuspectEntry(long fingerprint, List<Crash> crashes) {

	/**
	 * The most crashes kept of one request.
	 */
	public static final int MAX_CRASHES = 4;

	public SuspectEntry {
		List<Crash> l = new ArrayList<>(crashes);
		l.sort(Comparator.comparingLong(Crash::at).thenComparing(Crash::worker));
		crashes = List.copyOf(l.subList(Math.max(0, l.size() - MAX_CRASHES), l.size()));
	}

	/**
	 * Tells whether the request may have caused a crash.
	 * @return {@code true} if a crash of it is not cleared
	 */
	public boolean suspect() {
		return this.crashes.stream().anyMatch((c) -> c.state() != CrashState.CLEARED);
	}

	/**
	 * Tells whether the request is refused.
	 * @return {@code true} if it is held to be the cause of a crash
	 */
	public boolean quarantined() {
		return this.crashes.stream().anyMatch((c) -> c.state() == CrashState.CONVICTED);
	}

	/**
	 * Counts the crashes that are not cleared.
	 * @return the number of crashes
	 */
	public int unclearedCrashCount() {
		return (int) this.crashes.stream().filter((c) -> c.state() != CrashState.CLEARED).count();
	}

	/**
	 * Returns when the last crash was.
	 * @return the time in milliseconds, or {@link Long#MIN_VALUE} if there is none
	 */
	public long lastCrashAt() {
		return this.crashes.isEmpty() ? Long.MIN_VALUE : this.crashes.get(this.crashes.size() - 1).at();
	}

	/**
	 * Returns the entry with one more crash.
	 * @param c the crash
	 * @return a new entry
	 */
	public SuspectEntry withCrash(Crash c) {
		List<Crash> l = new ArrayList<>(this.crashes);
		l.add(c);
		return new SuspectEntry(this.fingerprint, l);
	}

	/**
	 * Returns the entry with its last crash held against it.
	 * @return a new entry
	 */
	public SuspectEntry withLastCrashAttributed() {
		List<Crash> l = new ArrayList<>(this.crashes);
		l.set(l.size() - 1, l.get(l.size() - 1).withMinimumState(CrashState.CONVICTED));
		return new SuspectEntry(this.fingerprint, l);
	}

	/**
	 * Returns the entry with all crashes at least in a state.
	 * @param state the state
	 * @return a new entry
	 */
	public SuspectEntry withMinimumState(CrashState state) {
		return new SuspectEntry(this.fingerprint, this.crashes.stream().map((c) -> c.withMinimumState(state)).toList());
	}

	/**
	 * Counts the crashes before another one.
	 * @param c the other crash
	 * @param state counts those that are not beyond this state
	 * @param windowMs how far two observations of one crash may be apart, in milliseconds
	 * @return the number of crashes; 0 if the request was not at that crash
	 */
	public long countCrashesBefore(Crash c, CrashState state, long windowMs) {
		long at = this.crashes.stream()
			.filter((o) -> o.matches(c, windowMs))
			.mapToLong(Crash::at)
			.max()
			.orElse(Long.MIN_VALUE);
		return this.crashes.stream().filter((o) -> o.at() < at && o.state().compareTo(state) <= 0).count();
	}

	/**
	 * Joins what two nodes know. Idempotent; the order in which entries arrive makes no
	 * difference beyond the bound on crashes.
	 * @param other the other node's entry for the same request
	 * @param windowMs how far two observations of one crash may be apart, in milliseconds
	 * @return this if nothing is new, else a new entry
	 */
	public SuspectEntry merge(SuspectEntry other, long windowMs) {
		List<Crash> l = new ArrayList<>(this.crashes);
		for (Crash c : other.crashes) {
			int i = indexOfMatch(l, c, other.crashes, windowMs);
			if (i < 0) {
				l.add(c);
			}
			else {
				l.set(i, l.get(i).withMinimumState(c.state()));
			}
		}
		SuspectEntry e = new SuspectEntry(this.fingerprint, l);
		return e.equals(this) ? this : e;
	}

	private static int indexOfMatch(List<Crash> ours, Crash c, List<Crash> theirs, long windowMs) {
		for (int i = 0; i < ours.size(); i++) {
			if (ours.get(i).matches(c, 0)) {
				return i;
			}
		}
		for (int i = 0; i < ours.size(); i++) {
			Crash o = ours.get(i);
			// A crash that the other node lists apart is another crash of that worker,
			// however close in time.
			if (o.matches(c, windowMs) && theirs.stream().noneMatch((t) -> t.matches(o, 0))) {
				return i;
			}
		}
		return -1;
	}

}
