package io.shallotspur.routing;

import java.util.List;

import io.shallotspur.fleet.Worker;

/**
 * Workers of one upstream that one entry VM admits work to. Immutable.
 *
 * @param id unique within the deployment, the same on all nodes that know the same
 * workers
 * @param upstream the upstream
 * @param workers its workers, prefill and decode, by identifier
 */
public record Cell(String id, String upstream, List<Worker> workers) {

	public Cell {
		workers = List.copyOf(workers);
	}

}
