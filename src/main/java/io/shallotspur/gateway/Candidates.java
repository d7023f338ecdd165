package io.shallotspur.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The workers of one upstream that may run a request. Not thread-safe; confined to the
 * gateway's thread.
 */
final class Candidates {

	private final Gateway gateway;

	private final String upstream;

	private final int connectionLimit;

	private @Nullable String requiredVersion;

	private boolean announcedOnly;

	/**
	 * Creates the candidates of an upstream.
	 * @param gateway the gateway
	 * @param upstream the upstream
	 * @param connectionLimit connections that one worker accepts from all VMs together
	 */
	Candidates(Gateway gateway, String upstream, int connectionLimit) {
		this.gateway = gateway;
		this.upstream = upstream;
		this.connectionLimit = connectionLimit;
	}

	/**
	 * Leaves out the workers of all other versions from now on.
	 * @param version the version of their software
	 */
	void requireVersion(String version) {
		this.requiredVersion = version;
	}

	Optional<String> requiredVersion() {
		return Optional.ofNullable(this.requiredVersion);
	}

	/**
	 * Leaves out the workers of versions that are not announced, unless a version is
	 * required.
	 */
	void requireAnnouncedVersion() {
		this.announcedOnly = true;
	}

	private boolean isEligible(WorkerInfo w, Set<String> excluded) {
		return !excluded.contains(w.id()) && isEligibleVersion(w);
	}

	private boolean isEligibleVersion(WorkerInfo w) {
		String v = this.requiredVersion;
		return (v != null) ? w.version().equals(v)
				: (!this.announcedOnly || this.gateway.origins.versions().contains(w));
	}

	/**
	 * Returns the workers that may be used, whether or not their rate limits and
	 * connection shares are exhausted or they have asked for a pause. Leaving workers and
	 * those with an announced stage change are left out; unreachable and ejected ones are
	 * left out unless all others are or have asked for a pause.
	 * @param stage the required stage
	 * @param excluded ids of workers to leave out
	 * @param now the present time in milliseconds
	 * @return the workers
	 */
	List<WorkerState> all(WorkerStage stage, Set<String> excluded, long now) {
		return this.gateway.roster.candidates(this.upstream, Set.of(stage), (w) -> isEligible(w, excluded), now);
	}

	/**
	 * Returns the number of requests that the workers of all versions run concurrently.
	 * @param stage the required stage
	 * @param now the present time in milliseconds
	 * @return the sum over the workers
	 */
	int totalSlots(WorkerStage stage, long now) {
		return this.gateway.roster.candidates(this.upstream, Set.of(stage), (w) -> true, now)
			.stream()
			.mapToInt((w) -> w.info().slots())
			.sum();
	}

	/**
	 * Tells whether there are workers, but no network path to any of them.
	 * @param stage the required stage
	 * @param excluded ids of workers to leave out
	 * @param now the present time in milliseconds
	 * @return {@code false} also if there is no worker
	 */
	boolean areUnreachable(WorkerStage stage, Set<String> excluded, long now) {
		List<WorkerState> workers = all(stage, excluded, now);
		return !workers.isEmpty() && workers.stream().allMatch((w) -> w.path().isUnreachable());
	}

	/**
	 * Returns the workers that accept another request of this VM now.
	 * @param stage the required stage
	 * @param excluded ids of workers to leave out
	 * @param now the present time in milliseconds
	 * @return the workers
	 */
	List<WorkerState> available(WorkerStage stage, Set<String> excluded, long now) {
		int maxConnections = ConnectionShare.of(this.connectionLimit, this.gateway.entryVms, now);
		return all(stage, excluded, now).stream()
			.filter((w) -> w.activeRequests() < maxConnections && this.gateway.workerAvailability.admits(w, now))
			.toList();
	}

	/**
	 * Returns the worker whose rate limit and pause admit a request soonest.
	 * @param stage the required stage
	 * @param excluded ids of workers to leave out
	 * @param now the present time in milliseconds
	 * @return the worker, or empty if there is none
	 */
	Optional<WorkerState> soonestAvailable(WorkerStage stage, Set<String> excluded, long now) {
		return all(stage, excluded, now).stream()
			.min(Comparator.comparingLong((w) -> this.gateway.workerAvailability.waitMs(w, now)));
	}

}
