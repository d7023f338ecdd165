package io.shallotspur.stage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.shallotspur.gateway.WorkerInfo;

/**
 * Finds announcements of stage changes that may belong to no change in progress. VMs send
 * no requests to an announced worker, so an announcement that remains after a lost
 * withdrawal excludes its worker for as long as the VM lives that wrote it. Not
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
	 * @param changing the workers whose change this VM carries out
	 * @param now the current time in milliseconds
	 * @return those to be checked now; returned again later if they stay announced
	 */
	List<WorkerInfo> update(List<WorkerInfo> announced, Set<String> changing, long now) {
		List<WorkerInfo> candidates = announced.stream().filter((w) -> !changing.contains(w.id())).toList();
		this.orphanedSince.keySet().retainAll(candidates.stream().map(WorkerInfo::id).collect(Collectors.toSet()));
		candidates.forEach((w) -> this.orphanedSince.putIfAbsent(w.id(), now));
		List<WorkerInfo> due = candidates.stream()
			.filter((w) -> now - this.orphanedSince.get(w.id()) >= GRACE_MS)
			.toList();
		due.forEach((w) -> this.orphanedSince.put(w.id(), now));
		return due;
	}

}
