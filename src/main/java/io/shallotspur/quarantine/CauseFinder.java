package io.shallotspur.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides whether a suspect is the cause of the crashes at which it was present. Not
 * thread-safe.
 * <p>
 * Of a request and the parts of its prompt that were present at the same crashes, the
 * request is taken for the cause, and of the parts the last one: that refuses the fewest
 * others. If it is not the cause, the part is present at further crashes without it.
 */
final class CauseFinder {

	// Two crashes of a request that had made progress count as one: some requests crash
	// their workers late. A part that was answered before is as unlikely the cause.
	private static final double PROVEN_WEIGHT = 0.5;

	// The crashes at which nothing speaks for a part, unless there are many others.
	private static final int MIN_OPEN_CRASHES = 2;

	// A single request that comes again speaks against itself, not its parts.
	private static final int MIN_REQUESTS = 2;

	private final QuarantineLimits limits;

	private final SuspectTable table;

	CauseFinder(QuarantineLimits limits, SuspectTable table) {
		this.limits = limits;
		this.table = table;
	}

	boolean isCause(Suspect s, long now) {
		SuspectEntry e = s.entry();
		QuarantineLimits.Evidence evidence = this.limits.evidence();
		if (!s.isPart() && e.unclearedCrashCount() >= evidence.maxCrashes()) {
			return true;
		}
		return weigh(s, e.crashes()) >= evidence.minCrashes() && (!s.isPart() || isEvident(s))
				&& now - e.firstUnclearedCrashAt() >= evidence.settlingMs()
				&& weigh(s, unexplainedCrashes(s)) >= evidence.minCrashes() && isMostLikelyCause(s);
	}

	// Each of the few requests with an innocent part may come again several times while
	// workers crash for other reasons.
	private boolean isEvident(Suspect part) {
		int moments = unclearedMoments(part);
		boolean open = part.entry().openCrashCount() >= MIN_OPEN_CRASHES || moments >= SuspectEntry.MAX_CRASHES;
		return open && countRequests(part) >= (isDecisive(part) ? MIN_REQUESTS : this.limits.evidence().minCrashes());
	}

	private long countRequests(Suspect part) {
		return this.table.all()
			.stream()
			.filter((s) -> s.parts().contains(part.fingerprint()) && s.entry().suspect())
			.count();
	}

	// Requests with the same part run on several workers. When these end together, the
	// part was present at all of the crashes, and they are one event.
	private List<Crash> moments(List<Crash> crashes) {
		List<Crash> distinct = new ArrayList<>();
		for (Crash c : crashes) {
			Crash previous = distinct.isEmpty() ? null : distinct.get(distinct.size() - 1);
			if (previous == null || c.at() - previous.at() >= this.limits.evidence().coincidenceMs()) {
				distinct.add(c);
			}
		}
		return distinct;
	}

	private List<Crash> unexplainedCrashes(Suspect s) {
		return s.entry().crashes().stream().filter((c) -> !hasOtherExplanation(s, c)).toList();
	}

	/**
	 * Returns whether a part was present at so many crashes that it is taken for the
	 * cause without having been told apart by an answer.
	 * @param part the part
	 * @return {@code true} if there is no need to wait any longer
	 */
	boolean isDecisive(Suspect part) {
		return unclearedMoments(part) >= this.limits.evidence().decisiveCrashes();
	}

	private int unclearedMoments(Suspect part) {
		return moments(part.entry().crashes().stream().filter((c) -> c.state() != CrashState.CLEARED).toList()).size();
	}

	private double weigh(Suspect s, List<Crash> crashes) {
		return (s.isPart() ? moments(crashes) : crashes).stream().mapToDouble(CauseFinder::weight).sum();
	}

	private static double weight(Crash c) {
		return switch (c.state()) {
			case OPEN, CONVICTED -> 1;
			case PROVEN -> PROVEN_WEIGHT;
			case CLEARED -> 0;
		};
	}

	// Either something quarantined was running on the worker, or another worker, on which
	// this suspect was not running, crashed at the same moment. A request does not
	// explain the crashes of a part of its own prompt, which others share.
	private boolean hasOtherExplanation(Suspect s, Crash crash) {
		long windowMs = this.limits.sameCrashWindowMs();
		return this.table.all()
			.stream()
			.filter((other) -> other.fingerprint() != s.fingerprint())
			.anyMatch((other) -> (other.entry().quarantined() && other.entry().wasPresentAt(crash, windowMs)
					&& !other.parts().contains(s.fingerprint()))
					|| other.entry()
						.crashes()
						.stream()
						.anyMatch((c) -> coincide(c, crash) && !s.entry().wasPresentAt(c, windowMs)));
	}

	private boolean coincide(Crash one, Crash other) {
		return !one.worker().equals(other.worker())
				&& Math.abs(one.at() - other.at()) < this.limits.evidence().coincidenceMs();
	}

	private boolean isMostLikelyCause(Suspect s) {
		SuspectEntry e = s.entry();
		Crash last = e.crashes().get(e.crashes().size() - 1);
		Presence own = presence(e, last);
		// A request that made progress after its first crash is assumed to be innocent.
		// If it is present at a third crash nevertheless, it crashes workers late.
		if (last.state() == CrashState.CLEARED || (own.open() == 0 && own.uncleared() < 2)) {
			return false;
		}
		return this.table.all().stream().filter((other) -> other.fingerprint() != s.fingerprint()).allMatch((other) -> {
			int difference = own.compareTo(presence(other.entry(), last));
			return difference > 0 || (difference == 0 && hasPrecedence(s, other));
		});
	}

	private Presence presence(SuspectEntry e, Crash at) {
		long windowMs = this.limits.sameCrashWindowMs();
		return new Presence(e.countCrashesBefore(at, CrashState.OPEN, windowMs),
				e.countCrashesBefore(at, CrashState.CONVICTED, windowMs));
	}

	private boolean hasPrecedence(Suspect s, Suspect other) {
		if (!s.isPart()) {
			return s.parts().contains(other.fingerprint());
		}
		// Until then, an answer to a prompt with one of the two tells which one it is.
		return isDecisive(s) && other.isPart() && followsInAPrompt(s, other);
	}

	private boolean followsInAPrompt(Suspect part, Suspect earlier) {
		return this.table.all().stream().map(Suspect::parts).anyMatch((parts) -> {
			int i = parts.indexOf(earlier.fingerprint());
			return i >= 0 && parts.indexOf(part.fingerprint()) > i;
		});
	}

	/**
	 * At how many crashes before a given one a suspect was present. Immutable.
	 *
	 * @param open those at which nothing speaks for it
	 * @param uncleared all that are not cleared
	 */
	private record Presence(long open, long uncleared) implements Comparable<Presence> {

		private static final Comparator<Presence> ORDER = Comparator.comparingLong(Presence::open)
			.thenComparingLong(Presence::uncleared);

		@Override
		public int compareTo(Presence other) {
			return ORDER.compare(this, other);
		}

	}

}
