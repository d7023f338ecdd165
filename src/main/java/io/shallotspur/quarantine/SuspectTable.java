package io.shallotspur.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The suspects of a node and the changes that its peers do not know yet. Not thread-safe.
 * <p>
 * Invariant: the number of suspects and the lifetime of each are bounded.
 */
final class SuspectTable {

	private final QuarantineLimits limits;

	private final Map<Long, Suspect> suspects = new LinkedHashMap<>();

	private final Set<Long> changed = new LinkedHashSet<>();

	SuspectTable(QuarantineLimits limits) {
		this.limits = limits;
	}

	@Nullable Suspect get(long fingerprint) {
		return this.suspects.get(fingerprint);
	}

	/**
	 * Returns a suspect that has not expired.
	 * @param fingerprint its fingerprint
	 * @param now the present time in milliseconds
	 * @return the suspect, or {@code null} if there is none
	 */
	@Nullable Suspect find(long fingerprint, long now) {
		Suspect s = this.suspects.get(fingerprint);
		return (s != null && !isExpired(s, now)) ? s : null;
	}

	Collection<Suspect> all() {
		return this.suspects.values();
	}

	Set<Long> fingerprints() {
		return this.suspects.keySet();
	}

	int size() {
		return this.suspects.size();
	}

	void put(Suspect s) {
		this.suspects.put(s.fingerprint(), s);
	}

	void putChanged(Suspect s) {
		put(s);
		this.changed.add(s.fingerprint());
	}

	boolean isExpired(Suspect s, long now) {
		long ttlMs = s.entry().quarantined() ? this.limits.quarantineTtlMs() : this.limits.suspectTtlMs();
		return s.entry().lastCrashAt() + ttlMs <= now;
	}

	void removeExpired(long now) {
		this.suspects.values().removeIf((s) -> isExpired(s, now));
		this.changed.retainAll(this.suspects.keySet());
	}

	// Bounds memory when many workers crash: suspects are evicted before what is
	// quarantined, those with the oldest crash first.
	void evictExcess() {
		int excess = this.suspects.size() - this.limits.maxEntries();
		if (excess <= 0) {
			return;
		}
		this.suspects.values()
			.stream()
			.sorted(Comparator.comparing((Suspect s) -> s.entry().quarantined())
				.thenComparingLong((s) -> s.entry().lastCrashAt()))
			.limit(excess)
			.map(Suspect::fingerprint)
			.toList()
			.forEach(this.suspects::remove);
		this.changed.retainAll(this.suspects.keySet());
	}

	Set<Long> quarantined() {
		Set<Long> fingerprints = new LinkedHashSet<>();
		this.suspects.values()
			.stream()
			.filter((s) -> s.entry().quarantined())
			.forEach((s) -> fingerprints.add(s.fingerprint()));
		return fingerprints;
	}

	/**
	 * Returns all suspects.
	 * @return the suspects, the one with the latest crash first
	 */
	List<Suspect> sorted() {
		List<Suspect> l = new ArrayList<>(this.suspects.values());
		l.sort(Comparator.comparingLong((Suspect s) -> s.entry().lastCrashAt())
			.reversed()
			.thenComparingLong(Suspect::fingerprint));
		return l;
	}

	List<Suspect> drainChanged() {
		List<Suspect> drained = this.changed.stream()
			.filter(this.suspects::containsKey)
			.map(this.suspects::get)
			.toList();
		this.changed.clear();
		return drained;
	}

}
