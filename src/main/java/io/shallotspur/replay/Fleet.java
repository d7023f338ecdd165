package io.shallotspur.replay;

import java.util.List;
import java.util.Optional;

import io.shallotspur.fleet.Worker;

/**
 * The fleet of a replay. Immutable.
 *
 * @param upstreams the upstreams in order of the file
 */
record Fleet(List<UpstreamSpec> upstreams) {

	Fleet {
		upstreams = List.copyOf(upstreams);
	}

	Optional<WorkerSpec> findWorker(String id) {
		return this.upstreams.stream()
			.flatMap((u) -> u.workers().stream())
			.filter((w) -> w.worker().id().equals(id))
			.findFirst();
	}

	/**
	 * One upstream. Immutable.
	 *
	 * @param name its name
	 * @param model whether it is a model with prefill and decode workers
	 * @param workers its workers in order of the file
	 */
	record UpstreamSpec(String name, boolean model, List<WorkerSpec> workers) {

		UpstreamSpec {
			workers = List.copyOf(workers);
		}

	}

	/**
	 * One worker with the speeds that its fake has. The scheduler sees the worker alone.
	 * Values of other roles are 0. Immutable.
	 *
	 * @param worker what the scheduler may know
	 * @param prefillMsPerToken prefill: time for a token that is not cached
	 * @param stepBaseMs decode: time of a step without requests
	 * @param stepMsPerRequest decode: what each request adds to a step
	 * @param serviceMs plain: time of a call
	 */
	record WorkerSpec(Worker worker, double prefillMsPerToken, double stepBaseMs, double stepMsPerRequest,
			double serviceMs) {

	}

}
