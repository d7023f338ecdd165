package io.shallotspur.routing;

import java.util.List;

import io.shallotspur.fleet.Worker;

/**
 * A group of workers of one upstream whose admission control runs on one entry VM.
 * Immutable.
 *
 * @param id unique identifier within the deployment, the same on all nodes that know the
 * same workers
 * @param upstream the upstream
 * @param workers the prefill and decode workers, ordered by identifier
 */
public record Cell(String id, String upstream, List<Worker> workers) {

	public Cell {
		workers = List.copyOf(workers);
	}

}
