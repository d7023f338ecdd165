package io.shallotspur.stage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds announcements of stage changes that nobody carries out. VMs leave an announced
 * worker alone, so one that remains after a lost withdrawal, or after its leader has
 * resigned, would keep its worker from serving for as long as that leader lives. Not
 * thread-safe.
 */
final class OrphanedAnnouncements {

	// In ms. A change that has just ended is still announced until the worker's entry in
	// the registry shows its new stage.
	private static final long GRACE_MS = 10_000;

	// When each announcement was first seen without a change, by worker.
	private final Map<String, Long> orphanedSince = new HashMap<>();

	/**
	 * Updates the announcements.
	 * @param announced the workers with an announced stage that they do not have yet
	 * @param changing the workers whose change is in progress
	 * @param now the current time in milliseconds
	 * @return the workers whose announcements should be withdrawn
	 */
	List<String> update(Set<String> announced, Set<String> changing, long now) {
		this.orphanedSince.keySet().removeIf((id) -> !announced.contains(id) || changing.contains(id));
		announced.stream()
			.filter((id) -> !changing.contains(id))
			.forEach((id) -> this.orphanedSince.putIfAbsent(id, now));
		List<String> expired = announced.stream()
			.filter((id) -> now - this.orphanedSince.getOrDefault(id, now) >= GRACE_MS)
			.toList();
		// Those of which the withdrawal fails are returned again later.
		expired.forEach((id) -> this.orphanedSince.put(id, now));
		return expired;
	}

}
