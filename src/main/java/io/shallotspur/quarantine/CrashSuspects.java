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
 * Detects poison requests: requests that crash the workers they run on.
 * <p>
 * All requests that were running on a crashed worker become suspects. A request is
 * quarantined once it was running at as many crashes as the limits require, none of them
 * has another explanation, and every other request at the last one had been present at
 * fewer. If two suspects share a worker and are equally likely, neither is quarantined:
 * this avoids refusing an innocent request and costs one more worker. A suspect that
 * completes is cleared; one that makes progress for a while weighs less.
 * <p>
 * Invariants: a request that was present at fewer crashes than the limits require, or
 * that completed after them, is never quarantined; the number of entries and the lifetime
 * of each entry are bounded; {@link #merge} is idempotent and commutative. Thread-safe:
 * each method holds the monitor of this object for a time bounded by the size of the
 * table.
 */
public final class CrashSuspects {

	// Two crashes of a request that had made progress count as one: some requests crash
	// their workers late.
	private static final double PROVEN_WEIGHT = 0.5;

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
	 * @param limits the bounds of the table
	 */
	public CrashSuspects(QuarantineLimits limits) {
		this.limits = limits;
	}

	/**
	 * Records the crash of a worker.
	 * @param workerId the worker
	 * @param runningFingerprints the fingerprints of the requests that were running on it
	 * @param now the present time in milliseconds
	 * @return the fingerprints that are quarantined because of this crash, usually none
	 * or one
	 */
	public Set<Long> recordCrash(String workerId, Collection<Long> runningFingerprints, long now) {
		return recordCrash(workerId, runningFingerprints, Set.of(), now);
	}

	/**
	 * Records the crash of a worker on which some requests had made progress.
	 * @param workerId the worker
	 * @param runningFingerprints the fingerprints of the requests that were running on it
	 * @param progressed those of them that had run for longer than a crash would have
	 * taken, so that they are less likely the cause
	 * @param now the present time in milliseconds
	 * @return the fingerprints that are quarantined because of this crash, usually none
	 * or one
	 */
	public synchronized Set<Long> recordCrash(String workerId, Collection<Long> runningFingerprints,
			Set<Long> progressed, long now) {
		removeExpired(now);
		Crash crash = new Crash(workerId, crashTime(workerId, now), CrashState.OPEN);
		this.lastLocalCrashAt.put(workerId, crash.at());
		Set<Long> running = new LinkedHashSet<>(runningFingerprints);
		for (long fingerprint : running) {
			SuspectEntry e = this.entries.getOrDefault(fingerprint, new SuspectEntry(fingerprint, List.of()));
			if (e.crashes().stream().noneMatch((c) -> c.matches(crash, 0))) {
				putChanged(e
					.withCrash(progressed.contains(fingerprint) ? crash.withMinimumState(CrashState.PROVEN) : crash));
			}
		}
		Set<Long> quarantined = quarantineCauses(running, now);
		evictExcess();
		return quarantined;
	}

	/**
	 * Quarantines a request if the evidence against it has become sufficient by the
	 * passage of time.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 * @return the fingerprint if it is newly quarantined, otherwise nothing
	 */
	public synchronized Set<Long> review(long fingerprint, long now) {
		return quarantineCauses(Set.of(fingerprint), now);
	}

	/**
	 * Returns whether a request is refused because it crashes workers.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 * @return {@code true} if the request must not be dispatched
	 */
	public synchronized boolean isQuarantined(long fingerprint, long now) {
		SuspectEntry e = this.entries.get(fingerprint);
		return e != null && e.quarantined() && !isExpired(e, now);
	}

	/**
	 * Returns how long a request will still be refused.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it is not quarantined
	 */
	public synchronized long quarantineRemainingMs(long fingerprint, long now) {
		SuspectEntry e = this.entries.get(fingerprint);
		return (e != null && e.quarantined()) ? Math.max(0, e.lastCrashAt() + this.limits.quarantineTtlMs() - now) : 0;
	}

	/**
	 * Returns the number of entries, including some that have expired.
	 * @return the number of suspects and quarantined requests
	 */
	public synchronized int size() {
		return this.entries.size();
	}

	/**
	 * Returns whether there are no suspects and no quarantined requests.
	 * @return {@code true} if the table is empty
	 */
	public synchronized boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Returns whether a request was running on a worker that crashed and has not
	 * completed since. No two suspects may share a worker. Quarantined requests are also
	 * suspects.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 * @return {@code true} if the request may have caused a crash
	 */
	public synchronized boolean isSuspect(long fingerprint, long now) {
		SuspectEntry e = this.entries.get(fingerprint);
		return e != null && e.suspect() && !isExpired(e, now);
	}

	/**
	 * Records that a request ran to completion, which clears it.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 */
	public synchronized void recordCompletion(long fingerprint, long now) {
		SuspectEntry e = this.entries.get(fingerprint);
		if (e != null && e.suspect() && !isExpired(e, now)) {
			putChanged(e.withMinimumState(CrashState.CLEARED));
		}
	}

	/**
	 * Records that a suspect has run for longer than a crash would have taken, without
	 * having completed yet. It is then less likely to be the cause than a suspect without
	 * such progress, but is still quarantined at its third crash.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 */
	public synchronized void recordProgress(long fingerprint, long now) {
		SuspectEntry e = this.entries.get(fingerprint);
		if (e != null && e.suspect() && !isExpired(e, now)) {
			SuspectEntry updated = e.withMinimumState(CrashState.PROVEN);
			if (!updated.equals(e)) {
				putChanged(updated);
			}
		}
	}

	/**
	 * Merges the entries of a peer.
	 * @param peerEntries the peer's entries
	 * @param now the present time in milliseconds
	 * @return the fingerprints that are newly quarantined at this node
	 */
	public synchronized Set<Long> merge(Collection<SuspectEntry> peerEntries, long now) {
		removeExpired(now);
		Set<Long> before = quarantinedFingerprints();
		Set<Long> updated = new LinkedHashSet<>();
		for (SuspectEntry peerEntry : peerEntries) {
			SuspectEntry old = this.entries.get(peerEntry.fingerprint());
			SuspectEntry e = join(old, peerEntry);
			if (e != old && !isExpired(e, now)) {
				this.entries.put(e.fingerprint(), e);
				updated.add(e.fingerprint());
			}
		}
		quarantineCauses(updated, now);
		evictExcess();
		Set<Long> after = quarantinedFingerprints();
		after.removeAll(before);
		return after;
	}

	/**
	 * Returns a snapshot of all entries, for operators and for peers that start.
	 * @param now the present time in milliseconds
	 * @return the entries, the one with the latest crash first
	 */
	public synchronized List<SuspectEntry> entries(long now) {
		removeExpired(now);
		List<SuspectEntry> sorted = new ArrayList<>(this.entries.values());
		sorted.sort(Comparator.comparingLong(SuspectEntry::lastCrashAt)
			.reversed()
			.thenComparingLong(SuspectEntry::fingerprint));
		return sorted;
	}

	/**
	 * Returns the entries that changed at this node since the last call, which are to be
	 * sent to all peers immediately. Entries merged from a peer are not included unless
	 * they led to a quarantine here.
	 * @param now the present time in milliseconds
	 * @return the entries, at most as many as the table holds
	 */
	public synchronized List<SuspectEntry> drainChanges(long now) {
		removeExpired(now);
		List<SuspectEntry> drained = this.changedFingerprints.stream()
			.filter(this.entries::containsKey)
			.map(this.entries::get)
			.toList();
		this.changedFingerprints.clear();
		return drained;
	}

	private SuspectEntry join(@Nullable SuspectEntry ours, SuspectEntry theirs) {
		return (ours != null) ? ours.merge(theirs, this.limits.sameCrashWindowMs()) : theirs;
	}

	private long crashTime(String workerId, long now) {
		// A peer that shares the worker may have reported this crash before this node
		// detected it. If the crash were counted twice, every request on the worker would
		// be quarantined, so the time reported by the peer is used. Two crashes detected
		// by this node itself are always distinct.
		Long last = this.lastLocalCrashAt.get(workerId);
		Crash local = new Crash(workerId, now, CrashState.OPEN);
		long reported = this.entries.values()
			.stream()
			.flatMap((e) -> e.crashes().stream())
			.filter((c) -> c.matches(local, this.limits.sameCrashWindowMs()) && (last == null || c.at() > last))
			.mapToLong(Crash::at)
			.max()
			.orElse(now);
		return (last != null && reported <= last) ? last + 1 : reported;
	}

	private Set<Long> quarantineCauses(Set<Long> candidates, long now) {
		Set<Long> causes = new LinkedHashSet<>();
		for (long fingerprint : candidates) {
			SuspectEntry e = this.entries.get(fingerprint);
			if (e != null && !e.quarantined() && isCause(e, now)) {
				causes.add(fingerprint);
			}
		}
		causes.forEach((fingerprint) -> putChanged(this.entries.get(fingerprint).withLastCrashAttributed()));
		return causes;
	}

	private boolean isCause(SuspectEntry e, long now) {
		QuarantineLimits.Evidence evidence = this.limits.evidence();
		if (e.unclearedCrashCount() >= evidence.maxCrashes()) {
			return true;
		}
		return weigh(e.crashes()) >= evidence.minCrashes() && now - e.firstUnclearedCrashAt() >= evidence.settlingMs()
				&& weigh(unexplainedCrashes(e)) >= evidence.minCrashes() && isMostLikelyCause(e);
	}

	private List<Crash> unexplainedCrashes(SuspectEntry e) {
		return e.crashes().stream().filter((c) -> !hasOtherExplanation(e, c)).toList();
	}

	private static double weigh(List<Crash> crashes) {
		return crashes.stream().mapToDouble(CrashSuspects::weight).sum();
	}

	private static double weight(Crash c) {
		return switch (c.state()) {
			case OPEN, CONVICTED -> 1;
			case PROVEN -> PROVEN_WEIGHT;
			case CLEARED -> 0;
		};
	}

	// Either a quarantined request was running on the worker, or another worker, on which
	// this request was not running, crashed at the same moment.
	private boolean hasOtherExplanation(SuspectEntry e, Crash crash) {
		long windowMs = this.limits.sameCrashWindowMs();
		return this.entries.values()
			.stream()
			.filter((other) -> other.fingerprint() != e.fingerprint())
			.anyMatch((other) -> (other.quarantined() && other.wasPresentAt(crash, windowMs))
					|| other.crashes().stream().anyMatch((c) -> coincide(c, crash) && !e.wasPresentAt(c, windowMs)));
	}

	private boolean coincide(Crash one, Crash other) {
		return !one.worker().equals(other.worker())
				&& Math.abs(one.at() - other.at()) < this.limits.evidence().coincidenceMs();
	}

	private boolean isMostLikelyCause(SuspectEntry e) {
		Crash last = e.crashes().get(e.crashes().size() - 1);
		long open = countCrashesBefore(e, last, CrashState.OPEN);
		long uncleared = countCrashesBefore(e, last, CrashState.CONVICTED);
		// A request that made progress after its first crash is assumed to be innocent.
		// If it is present at a third crash nevertheless, it crashes workers late.
		if (last.state() == CrashState.CLEARED || (open == 0 && uncleared < 2)) {
			return false;
		}
		return this.entries.values()
			.stream()
			.filter((other) -> other.fingerprint() != e.fingerprint())
			.allMatch((other) -> {
				long otherOpen = countCrashesBefore(other, last, CrashState.OPEN);
				return otherOpen < open
						|| (otherOpen == open && countCrashesBefore(other, last, CrashState.CONVICTED) < uncleared);
			});
	}

	private long countCrashesBefore(SuspectEntry e, Crash crash, CrashState maxState) {
		return e.countCrashesBefore(crash, maxState, this.limits.sameCrashWindowMs());
	}

	private Set<Long> quarantinedFingerprints() {
		Set<Long> fingerprints = new LinkedHashSet<>();
		this.entries.values()
			.stream()
			.filter(SuspectEntry::quarantined)
			.forEach((e) -> fingerprints.add(e.fingerprint()));
		return fingerprints;
	}

	private void putChanged(SuspectEntry e) {
		this.entries.put(e.fingerprint(), e);
		this.changedFingerprints.add(e.fingerprint());
	}

	private boolean isExpired(SuspectEntry e, long now) {
		long ttlMs = e.quarantined() ? this.limits.quarantineTtlMs() : this.limits.suspectTtlMs();
		return e.lastCrashAt() + ttlMs <= now;
	}

	private void removeExpired(long now) {
		this.entries.values().removeIf((e) -> isExpired(e, now));
		this.changedFingerprints.retainAll(this.entries.keySet());
		this.lastLocalCrashAt.values().removeIf((at) -> at + this.limits.suspectTtlMs() <= now);
	}

	private void evictExcess() {
		// Bounds memory when many workers crash: suspects are evicted before quarantined
		// requests, those with the oldest crash first.
		int excess = this.entries.size() - this.limits.maxEntries();
		if (excess <= 0) {
			return;
		}
		this.entries.values()
			.stream()
			.sorted(Comparator.comparing(SuspectEntry::quarantined).thenComparingLong(SuspectEntry::lastCrashAt))
			.limit(excess)
			.map(SuspectEntry::fingerprint)
			.toList()
			.forEach(this.entries::remove);
		this.changedFingerprints.retainAll(this.entries.keySet());
	}

}
