package io.shallotspur.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The workers of one upstream that may run a request. Not thread-safe; confined to the
 * gateway's thread.
 */
final class Candidates {

	private final Gateway gateway;

	private final String upstream;

	private final int connectionLimit;

	/**
	 * Creates candidates.
	 * @param gateway the gateway
	 * @param upstream the upstream
	 * @param connectionLimit connections that one worker takes from all VMs together
	 */
	Candidates(Gateway gateway, String upstream, int connectionLimit) {
		this.gateway = gateway;
		this.upstream = upstream;
		this.connectionLimit = connectionLimit;
	}

	/**
	 * Returns those that are there, whether or not what they take is used up.
	 * @param stage what they have to do
	 * @param excluded workers that are left out
	 * @param now the present time in milliseconds
	 * @return the workers
	 */
	List<WorkerState> all(WorkerStage stage, Set<String> excluded, long now) {
		return this.gateway.roster.candidates(this.upstream, Set.of(stage), excluded, now);
	}

	/**
	 * Returns those that take another request of this VM now.
	 * @param stage what they have to do
	 * @param excluded workers that are left out
	 * @param now the present time in milliseconds
	 * @return the workers
	 */
	List<WorkerState> available(WorkerStage stage, Set<String> excluded, long now) {
		int maxConnections = ConnectionShare.of(this.connectionLimit, this.gateway.entryVms, now);
		return all(stage, excluded, now).stream()
			.filter((w) -> w.activeRequests() < maxConnections && this.gateway.workerLimits.admits(w, now))
			.toList();
	}

	/**
	 * Returns the one whose limit leaves room first.
	 * @param stage what it has to do
	 * @param excluded workers that are left out
	 * @param now the present time in milliseconds
	 * @return the worker, or empty if there is none
	 */
	Optional<WorkerState> soonestAvailable(WorkerStage stage, Set<String> excluded, long now) {
		return all(stage, excluded, now).stream().min(Comparator.comparingLong((w) -> this.gateway.workerLimits.waitMs(w, now)));
	}

}
