package io.shallotspur.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Detects poison requests: requests that crash the workers they run on, and parts of
 * prompts that do so in each request that has them.
 * <p>
 * All requests that were running on a crashed worker become suspects, and so do the parts
 * of their prompts that other requests may share. A suspect is quarantined once it was
 * present at as many crashes as the limits require, none of them has another explanation,
 * and every other suspect at the last one had been present at fewer. If two suspects
 * share a worker and are equally likely, neither is quarantined: this avoids refusing an
 * innocent request and costs one more worker. A request that completes is cleared, and
 * with it the parts of its prompt; one that makes progress for a while weighs less, and
 * so does a part that was answered before.
 * <p>
 * Invariants: a request that was present at fewer crashes than the limits require, or
 * that completed after them, is never quarantined; a part is quarantined only by a node
 * at one of whose own crashes it was present, and only if other prompts of its upstream
 * were answered; the number of suspects and the lifetime of each are bounded;
 * {@link #merge} is idempotent and commutative. Thread-safe: each method holds the
 * monitor of this object for a time bounded by the size of the table.
 */
public final class CrashSuspects {

	// A part that is cleared is told to all peers only if one of them may quarantine it
	// otherwise: many prompts share it, and are answered at all nodes.
	private static final int DOUBTFUL_CRASHES = 2;

	private final QuarantineLimits limits;

	private final SuspectTable table;

	private final CauseFinder causeFinder;

	private final PartEvidence partEvidence;

	private final Map<String, Long> lastLocalCrashAt = new HashMap<>();

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
		this.table = new SuspectTable(limits);
		this.causeFinder = new CauseFinder(limits, this.table);
		this.partEvidence = new PartEvidence(limits.suspectTtlMs());
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
		List<CrashedRun> runs = runningFingerprints.stream().distinct().map(CrashedRun::of).toList();
		return recordCrash(new CrashedRuns(workerId, "", runs), now);
	}

	/**
	 * Records the crash of a worker on which requests were running whose prompts may have
	 * parts in common.
	 * @param runs what was running on it
	 * @param now the present time in milliseconds
	 * @return the fingerprints of the requests and parts that are quarantined because of
	 * this crash, usually none or one
	 */
	public synchronized Set<Long> recordCrash(CrashedRuns runs, long now) {
		this.table.removeExpired(now);
		Crash crash = new Crash(runs.worker(), crashTime(runs.worker(), now), CrashState.OPEN);
		this.lastLocalCrashAt.values().removeIf((at) -> at + this.limits.suspectTtlMs() <= now);
		this.lastLocalCrashAt.put(runs.worker(), crash.at());
		Set<Long> present = new LinkedHashSet<>();
		for (CrashedRun run : runs.runs()) {
			addRequest(run, crash);
			run.request()
				.parts()
				.forEach((p) -> addPart(p, runs.upstream(), observed(crash, run.speaksForParts()), now));
			present.addAll(fingerprints(run.request()));
		}
		Set<Long> quarantined = quarantineCauses(present, now);
		this.table.evictExcess();
		this.partEvidence.retainCrashed(this.table.fingerprints());
		return quarantined;
	}

	private static Crash observed(Crash crash, boolean speaksForIt) {
		return speaksForIt ? crash.withMinimumState(CrashState.PROVEN) : crash;
	}

	private void addRequest(CrashedRun run, Crash crash) {
		RequestIdentity r = run.request();
		List<Long> parts = r.parts().stream().map(PartFingerprint::part).toList();
		Suspect s = orElse(this.table.get(r.fingerprint()), Suspect.request(noCrash(r.fingerprint()), parts));
		addCrash(s, observed(crash, run.speaksForRequest()));
	}

	private void addPart(PartFingerprint p, String upstream, Crash crash, long now) {
		this.partEvidence.recordCrash(p.part(), upstream);
		Suspect added = Suspect.part(noCrash(p.part()), Set.of(p.ofCustomer()));
		Suspect s = orElse(this.table.get(p.part()), added).merge(added, this.limits.sameCrashWindowMs());
		addCrash(s, crash.withMinimumState(this.partEvidence.stateAt(p.part(), crash, now)));
	}

	private void addCrash(Suspect s, Crash crash) {
		if (s.entry().crashes().stream().noneMatch((c) -> c.matches(crash, 0))) {
			this.table.putChanged(s.withEntry(s.entry().withCrash(crash)));
		}
		else {
			this.table.put(s);
		}
	}

	private static Suspect orElse(@Nullable Suspect known, Suspect created) {
		return (known != null) ? known : created;
	}

	private static SuspectEntry noCrash(long fingerprint) {
		return new SuspectEntry(fingerprint, List.of());
	}

	/**
	 * Quarantines a request if the evidence against it has become sufficient by the
	 * passage of time.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 * @return the fingerprint if it is newly quarantined, otherwise nothing
	 */
	public Set<Long> review(long fingerprint, long now) {
		return review(RequestIdentity.of(fingerprint), now);
	}

	/**
	 * Quarantines a request, or parts of its prompt, if the evidence against them has
	 * become sufficient by the passage of time.
	 * @param request the request
	 * @param now the present time in milliseconds
	 * @return the fingerprints that are newly quarantined
	 */
	public synchronized Set<Long> review(RequestIdentity request, long now) {
		return quarantineCauses(fingerprints(request), now);
	}

	private static Set<Long> fingerprints(RequestIdentity request) {
		Set<Long> fingerprints = new LinkedHashSet<>();
		fingerprints.add(request.fingerprint());
		request.parts().forEach((p) -> fingerprints.add(p.part()));
		return fingerprints;
	}

	/**
	 * Returns whether a request is refused because it crashes workers.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 * @return {@code true} if the request must not be dispatched
	 */
	public boolean isQuarantined(long fingerprint, long now) {
		return isQuarantined(RequestIdentity.of(fingerprint), now);
	}

	/**
	 * Returns whether a request is refused because it, or a part of its prompt, crashes
	 * workers.
	 * @param request the request
	 * @param now the present time in milliseconds
	 * @return {@code true} if the request must not be dispatched
	 */
	public boolean isQuarantined(RequestIdentity request, long now) {
		return quarantineRemainingMs(request, now) > 0;
	}

	/**
	 * Returns how long a request will still be refused.
	 * @param request the request
	 * @param now the present time in milliseconds
	 * @return milliseconds; 0 if it is not refused
	 */
	public synchronized long quarantineRemainingMs(RequestIdentity request, long now) {
		long remainingMs = remainingMs(this.table.get(request.fingerprint()), now);
		for (PartFingerprint p : request.parts()) {
			Suspect s = this.table.get(p.part());
			if (s != null && s.concerns(p.ofCustomer())) {
				remainingMs = Math.max(remainingMs, remainingMs(s, now));
			}
		}
		return remainingMs;
	}

	private long remainingMs(@Nullable Suspect s, long now) {
		return (s != null && s.entry().quarantined())
				? Math.max(0, s.entry().lastCrashAt() + this.limits.quarantineTtlMs() - now) : 0;
	}

	/**
	 * Returns whether a fingerprint is that of a part of prompts.
	 * @param fingerprint the fingerprint of a suspect
	 * @return {@code false} if it is that of a request, or not known
	 */
	public synchronized boolean isPart(long fingerprint) {
		Suspect s = this.table.get(fingerprint);
		return s != null && s.isPart();
	}

	/**
	 * Returns the number of suspects, including some that have expired.
	 * @return the number of suspects, with what is quarantined
	 */
	public synchronized int size() {
		return this.table.size();
	}

	/**
	 * Returns whether there are no suspects and nothing is quarantined.
	 * @return {@code true} if the table is empty
	 */
	public synchronized boolean isEmpty() {
		return this.table.size() == 0;
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
		Suspect s = this.table.find(fingerprint, now);
		return s != null && s.entry().suspect();
	}

	/**
	 * Records that a request ran to completion, which clears it.
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 */
	public synchronized void recordCompletion(long fingerprint, long now) {
		Suspect s = this.table.find(fingerprint, now);
		if (s != null && s.entry().suspect()) {
			this.table.putChanged(s.withEntry(s.entry().withMinimumState(CrashState.CLEARED)));
		}
	}

	/**
	 * Records that a worker has answered a prompt completely, which clears its parts.
	 * @param parts the parts of the prompt that other requests may share
	 * @param upstream the upstream of the worker
	 * @param now the present time in milliseconds
	 */
	public synchronized void recordAnswer(Collection<PartFingerprint> parts, String upstream, long now) {
		this.partEvidence.recordAnswer(parts, upstream, now);
		parts.forEach((p) -> raisePart(p.part(), CrashState.CLEARED, now));
	}

	private void raisePart(long part, CrashState state, long now) {
		Suspect s = this.table.find(part, now);
		if (s != null && s.entry().suspect()) {
			raise(s, s.entry().withMinimumState(state));
		}
	}

	private void raise(Suspect s, SuspectEntry raised) {
		if (raised == s.entry()) {
			return;
		}
		boolean doubtful = s.entry().quarantined() || s.entry().openCrashCount() >= DOUBTFUL_CRASHES;
		if (doubtful) {
			this.table.putChanged(s.withEntry(raised));
		}
		else {
			this.table.put(s.withEntry(raised));
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
		Suspect s = this.table.find(fingerprint, now);
		if (s != null && s.entry().suspect()) {
			SuspectEntry updated = s.entry().withMinimumState(CrashState.PROVEN);
			if (updated != s.entry()) {
				this.table.putChanged(s.withEntry(updated));
			}
		}
	}

	/**
	 * Records that a worker has been writing an answer for some time, as
	 * {@link #recordProgress(long, long)} does for the request and, later, for the parts
	 * of its prompt.
	 * @param run the request, which is still running
	 * @param now the present time in milliseconds
	 */
	public synchronized void recordProgress(CrashedRun run, long now) {
		if (run.speaksForRequest()) {
			recordProgress(run.request().fingerprint(), now);
		}
		if (run.speaksForParts()) {
			run.request().parts().forEach((p) -> raisePart(p.part(), CrashState.PROVEN, now));
		}
	}

	/**
	 * Merges the entries of a peer.
	 * @param peerEntries the peer's entries, all of requests
	 * @param now the present time in milliseconds
	 * @return the fingerprints that are newly quarantined at this node
	 */
	public Set<Long> merge(Collection<SuspectEntry> peerEntries, long now) {
		return mergeSuspects(peerEntries.stream().map((e) -> Suspect.request(e, List.of())).toList(), now);
	}

	/**
	 * Merges the suspects of a peer.
	 * @param peerSuspects the peer's suspects
	 * @param now the present time in milliseconds
	 * @return the fingerprints that are newly quarantined at this node
	 */
	public synchronized Set<Long> mergeSuspects(Collection<Suspect> peerSuspects, long now) {
		this.table.removeExpired(now);
		Set<Long> before = this.table.quarantined();
		Set<Long> updated = new LinkedHashSet<>();
		for (Suspect peerSuspect : peerSuspects) {
			Suspect old = this.table.get(peerSuspect.fingerprint());
			Suspect s = (old != null) ? old.merge(peerSuspect, this.limits.sameCrashWindowMs()) : peerSuspect;
			if (s != old && !this.table.isExpired(s, now)) {
				this.table.put(s);
				correct(s, now);
				updated.add(s.fingerprint());
			}
		}
		quarantineCauses(updated, now);
		this.table.evictExcess();
		Set<Long> after = this.table.quarantined();
		after.removeAll(before);
		return after;
	}

	// A peer that has just started does not know which parts were answered before.
	private void correct(Suspect s, long now) {
		if (s.isPart()) {
			SuspectEntry raised = s.entry()
				.withMinimumStates((c) -> this.partEvidence.stateAt(s.fingerprint(), c, now));
			if (raised != s.entry()) {
				raise(s, raised);
			}
		}
	}

	/**
	 * Returns a snapshot of the entries of all suspects, for operators and for peers that
	 * start.
	 * @param now the present time in milliseconds
	 * @return the entries, the one with the latest crash first
	 */
	public List<SuspectEntry> entries(long now) {
		return suspects(now).stream().map(Suspect::entry).toList();
	}

	/**
	 * Returns a snapshot of all suspects.
	 * @param now the present time in milliseconds
	 * @return the suspects, the one with the latest crash first
	 */
	public synchronized List<Suspect> suspects(long now) {
		this.table.removeExpired(now);
		return this.table.sorted();
	}

	/**
	 * Returns the entries that changed at this node since the last call, which are to be
	 * sent to all peers immediately. Entries merged from a peer are not included unless
	 * they led to a quarantine here, or this node knows better.
	 * @param now the present time in milliseconds
	 * @return the entries, at most as many as the table holds
	 */
	public List<SuspectEntry> drainChanges(long now) {
		return drainChangedSuspects(now).stream().map(Suspect::entry).toList();
	}

	/**
	 * Returns the suspects that changed at this node since the last call, as
	 * {@link #drainChanges} does.
	 * @param now the present time in milliseconds
	 * @return the suspects, at most as many as the table holds
	 */
	public synchronized List<Suspect> drainChangedSuspects(long now) {
		this.table.removeExpired(now);
		return this.table.drainChanged();
	}

	private long crashTime(String workerId, long now) {
		// A peer that shares the worker may have reported this crash before this node
		// detected it. If the crash were counted twice, every request on the worker would
		// be quarantined, so the time reported by the peer is used. Two crashes detected
		// by this node itself are always distinct.
		Long last = this.lastLocalCrashAt.get(workerId);
		Crash local = new Crash(workerId, now, CrashState.OPEN);
		long reported = this.table.all()
			.stream()
			.flatMap((s) -> s.entry().crashes().stream())
			.filter((c) -> c.matches(local, this.limits.sameCrashWindowMs()) && (last == null || c.at() > last))
			.mapToLong(Crash::at)
			.max()
			.orElse(now);
		return (last != null && reported <= last) ? last + 1 : reported;
	}

	private Set<Long> quarantineCauses(Set<Long> candidates, long now) {
		Set<Long> causes = new LinkedHashSet<>();
		for (long fingerprint : candidates) {
			Suspect s = this.table.get(fingerprint);
			if (s != null && !s.entry().quarantined() && this.causeFinder.isCause(s, now) && mayDecide(s, now)) {
				causes.add(fingerprint);
			}
		}
		causes.forEach((fingerprint) -> quarantine(this.table.get(fingerprint)));
		return causes;
	}

	private void quarantine(Suspect s) {
		this.table.putChanged(s.withEntry(s.entry().withLastCrashAttributed()));
	}

	// While an upstream answers nothing at all, what all its prompts share was present at
	// each crash, whatever the cause.
	private boolean mayDecide(Suspect s, long now) {
		if (!s.isPart()) {
			return true;
		}
		long since = this.causeFinder.isDecisive(s) ? now - this.limits.suspectTtlMs()
				: s.entry().firstUnclearedCrashAt();
		return this.partEvidence.upstreamAnsweredSince(s.fingerprint(), since);
	}

}
