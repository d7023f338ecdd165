package io.shallotspur.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Finds the requests that crash the workers they run on.
 * <p>
 * All requests on a crashed worker become suspects. A request is quarantined when it was
 * present at two crashes and no other request at the later one had been at as many.
 * Because the scheduler never puts two suspects on one worker, this is so at its second
 * crash. If two suspects did meet (nodes that had not told each other yet), neither is
 * convicted: innocent requests are not refused, at the price of one more worker. A
 * suspect that completes whole is cleared; one that ran on for long counts less.
 * <p>
 * Invariants: a request that was at one crash is never quarantined; the table is bounded
 * in entries and each entry in time; {@link #merge} is idempotent and commutes.
 * Thread-safe: each method holds the monitor of this object, for a time bounded by the
 * size of the table.
 */
public final class CrashSuspects {

	private final QuarantineLimits limits;

	private final Map<Long, SuspectEntry> entries = new LinkedHashMap<>();

	private final Map<String, Long> lastLocalCrashAt = new HashMap<>();

	private final Set<Long> changedFingerprints = new LinkedHashSet<>();

	/**
	 * Creates an empty table with the default limits.
	 */
	public CrashSuspects() {
		this(QuarantineLimits.DEFAULT);
	}

	/**
	 * Creates an empty table.
	 * @param limits its bounds
	 */
	public CrashSuspects(QuarantineLimits limits) {
		this.limits = limits;
	}

	/**
	 * Takes the crash of a worker.
	 * @param workerId the worker
	 * @param runningFingerprints the requests that were on it
	 * @param now the present time in milliseconds
	 * @return the requests that are quarantined because of it, usually none or one
	 */
	public synchronized Set<Long> recordCrash(String workerId, Collection<Long> runningFingerprints, long now) {
		removeExpired(now);
		Crash c = new Crash(workerId, crashTime(workerId, now), CrashState.OPEN);
		this.lastLocalCrashAt.put(workerId, c.at());
		Set<Long> running = new LinkedHashSet<>(runningFingerprints);
		for (long fp : running) {
			SuspectEntry e = this.entries.getOrDefault(fp, new SuspectEntry(fp, List.of()));
			if (e.crashes().stream().noneMatch((o) -> o.matches(c, 0))) {
				putChanged(e.withCrash(c));
			}
		}
		Set<Long> convicted = quarantineCauses(running);
		evictExcess();
		return convicted;
	}

	/**
	 * Tells whether a request is refused because it crashes workers.
	 * @param fp the fingerprint
	 * @param now the present time in milliseconds
	 * @return {@code true} if it must not be dispatched
	 */
	public synchronized boolean isQuarantined(long fp, long now) {
		SuspectEntry e = this.entries.get(fp);
		return e != null && e.quarantined() && !isExpired(e, now);
	}

	/**
	 * Tells whether a request was on a worker that crashed and has not completed since.
	 * No two suspects may be on one worker. Quarantined requests are suspects too.
	 * @param fp the fingerprint
	 * @param now the present time in milliseconds
	 * @return {@code true} if it may have caused a crash
	 */
	public synchronized boolean isSuspect(long fp, long now) {
		SuspectEntry e = this.entries.get(fp);
		return e != null && e.suspect() && !isExpired(e, now);
	}

	/**
	 * Takes the whole completion of a request, which clears it.
	 * @param fp the fingerprint
	 * @param now the present time in milliseconds
	 */
	public synchronized void recordCompletion(long fp, long now) {
		SuspectEntry e = this.entries.get(fp);
		if (e != null && e.suspect() && !isExpired(e, now)) {
			putChanged(e.withMinimumState(CrashState.CLEARED));
		}
	}

	/**
	 * Takes a sign that a request did not cause the crashes it was at: it ran on for
	 * longer than a crash would have taken, but has not completed. It counts less than
	 * one without such a sign, and is still convicted at a third crash.
	 * @param fp the fingerprint
	 * @param now the present time in milliseconds
	 */
	public synchronized void recordProgress(long fp, long now) {
		SuspectEntry e = this.entries.get(fp);
		if (e != null && e.suspect() && !isExpired(e, now)) {
			SuspectEntry next = e.withMinimumState(CrashState.PROVEN);
			if (!next.equals(e)) {
				putChanged(next);
			}
		}
	}

	/**
	 * Takes what a peer knows.
	 * @param told the peer's entries
	 * @param now the present time in milliseconds
	 * @return the requests that are quarantined here because of it
	 */
	public synchronized Set<Long> merge(Collection<SuspectEntry> told, long now) {
		removeExpired(now);
		Set<Long> before = quarantinedFingerprints();
		Set<Long> touched = new LinkedHashSet<>();
		for (SuspectEntry t : told) {
			SuspectEntry old = this.entries.get(t.fingerprint());
			SuspectEntry e = join(old, t);
			if (e != old && !isExpired(e, now)) {
				this.entries.put(e.fingerprint(), e);
				touched.add(e.fingerprint());
			}
		}
		quarantineCauses(touched);
		evictExcess();
		Set<Long> after = quarantinedFingerprints();
		after.removeAll(before);
		return after;
	}

	/**
	 * Returns what is known, for operators and for a peer that starts.
	 * @param now the present time in milliseconds
	 * @return the entries, the one with the latest crash first
	 */
	public synchronized List<SuspectEntry> entries(long now) {
		removeExpired(now);
		List<SuspectEntry> l = new ArrayList<>(this.entries.values());
		l.sort(Comparator.comparingLong(SuspectEntry::lastCrashAt)
			.reversed()
			.thenComparingLong(SuspectEntry::fingerprint));
		return l;
	}

	/**
	 * Returns the entries that changed here since the last call, to be told to all peers
	 * at once. What a peer told is not among them, unless it led to a verdict here.
	 * @param now the present time in milliseconds
	 * @return the entries, at most as many as the table holds
	 */
	public synchronized List<SuspectEntry> drainChanges(long now) {
		removeExpired(now);
		List<SuspectEntry> l = this.changedFingerprints.stream().filter(this.entries::containsKey).map(this.entries::get).toList();
		this.changedFingerprints.clear();
		return l;
	}

	private SuspectEntry join(@Nullable SuspectEntry ours, SuspectEntry theirs) {
		return (ours != null) ? ours.merge(theirs, this.limits.sameCrashWindowMs()) : theirs;
	}

	private long crashTime(String workerId, long now) {
		// A peer that shares the worker may have told of this very crash before this node
		// noticed it. Counted twice, one crash would convict all that were on the worker;
		// so the peer's observation is adopted. Two crashes noticed by this node itself
		// are always two.
		Long last = this.lastLocalCrashAt.get(workerId);
		Crash here = new Crash(workerId, now, CrashState.OPEN);
		long told = this.entries.values()
			.stream()
			.flatMap((e) -> e.crashes().stream())
			.filter((c) -> c.matches(here, this.limits.sameCrashWindowMs()) && (last == null || c.at() > last))
			.mapToLong(Crash::at)
			.max()
			.orElse(now);
		return (last != null && told <= last) ? last + 1 : told;
	}

	private Set<Long> quarantineCauses(Set<Long> candidates) {
		Set<Long> l = new LinkedHashSet<>();
		for (long fp : candidates) {
			SuspectEntry e = this.entries.get(fp);
			if (e != null && !e.quarantined() && e.unclearedCrashCount() > 1 && isMostLikelyCause(e)) {
				l.add(fp);
			}
		}
		l.forEach((fp) -> putChanged(this.entries.get(fp).withLastCrashAttributed()));
		return l;
	}

	private boolean isMostLikelyCause(SuspectEntry e) {
		Crash last = e.crashes().get(e.crashes().size() - 1);
		long open = countCrashesBefore(e, last, CrashState.OPEN);
		long all = countCrashesBefore(e, last, CrashState.CONVICTED);
		// A request that ran on after its first crash is taken for a neighbour. If it
		// is at a third one all the same, it is one that crashes late.
		if (last.state() == CrashState.CLEARED || (open == 0 && all < 2)) {
			return false;
		}
		return this.entries.values().stream().filter((o) -> o.fingerprint() != e.fingerprint()).allMatch((o) -> {
			long rivalOpen = countCrashesBefore(o, last, CrashState.OPEN);
			return rivalOpen < open || (rivalOpen == open && countCrashesBefore(o, last, CrashState.CONVICTED) < all);
		});
	}

	private long countCrashesBefore(SuspectEntry e, Crash c, CrashState state) {
		return e.countCrashesBefore(c, state, this.limits.sameCrashWindowMs());
	}

	private Set<Long> quarantinedFingerprints() {
		Set<Long> l = new LinkedHashSet<>();
		this.entries.values().stream().filter(SuspectEntry::quarantined).forEach((e) -> l.add(e.fingerprint()));
		return l;
	}

	private void putChanged(SuspectEntry e) {
		this.entries.put(e.fingerprint(), e);
		this.changedFingerprints.add(e.fingerprint());
	}

	private boolean isExpired(SuspectEntry e, long now) {
		long ttl = e.quarantined() ? this.limits.quarantineTtlMs() : this.limits.suspectTtlMs();
		return e.lastCrashAt() + ttl <= now;
	}

	private void removeExpired(long now) {
		this.entries.values().removeIf((e) -> isExpired(e, now));
		this.changedFingerprints.retainAll(this.entries.keySet());
		this.lastLocalCrashAt.values().removeIf((at) -> at + this.limits.suspectTtlMs() <= now);
	}

	private void evictExcess() {
		// A flood of crashes must not fill the memory of the node: suspects go before
		// those that are refused, the oldest first.
		int over = this.entries.size() - this.limits.maxEntries();
		if (over <= 0) {
			return;
		}
		this.entries.values()
			.stream()
			.sorted(Comparator.comparing(SuspectEntry::quarantined).thenComparingLong(SuspectEntry::lastCrashAt))
			.limit(over)
			.map(SuspectEntry::fingerprint)
			.toList()
			.forEach(this.entries::remove);
		this.changedFingerprints.retainAll(this.entries.keySet());
	}

}
