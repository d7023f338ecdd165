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

	private final Gateway g;

	private final String upstream;

	private final int connectionLimit;

	/**
	 * Creates candidates.
	 * @param g the gateway
	 * @param upstream the upstream
	 * @param connectionLimit connections that one worker takes from all VMs together
	 */
	Candidates(Gateway g, String upstream, int connectionLimit) {
		this.g = g;
		this.upstream = upstream;
		this.connectionLimit = connectionLimit;
	}

	/**
	 * Returns those that are there, whether or not what they take is used up.
	 * @param stage what they have to do
	 * @param tried workers that are left out
	 * @param now the present time in milliseconds
	 * @return the workers
	 */
	List<WorkerState> all(WorkerStage stage, Set<String> tried, long now) {
		return this.g.roster.candidates(this.upstream, Set.of(stage), tried, now);
	}

	/**
	 * Returns those that take another request of this VM now.
	 * @param stage what they have to do
	 * @param tried workers that are left out
	 * @param now the present time in milliseconds
	 * @return the workers
	 */
	List<WorkerState> admitting(WorkerStage stage, Set<String> tried, long now) {
		int connections = ConnectionShare.of(this.connectionLimit, this.g.entryVms, now);
		return all(stage, tried, now).stream()
			.filter((w) -> w.running() < connections && this.g.workerLimits.admits(w, now))
			.toList();
	}

	/**
	 * Returns the one whose limit leaves room first.
	 * @param stage what it has to do
	 * @param tried workers that are left out
	 * @param now the present time in milliseconds
	 * @return the worker, or empty if there is none
	 */
	Optional<WorkerState> firstWithRoom(WorkerStage stage, Set<String> tried, long now) {
		return all(stage, tried, now).stream().min(Comparator.comparingLong((w) -> this.g.workerLimits.waitMs(w, now)));
	}

}
