package io.shallotspur.locate;

import java.util.List;

import io.shallotspur.fleet.Worker;

/**
 * A cell: a group of workers of one upstream to which a single owner admits requests.
 * Immutable.
 *
 * @param name unique in the deployment
 * @param upstream the upstream
 * @param workers the workers, in order of their identifiers
 */
public record CellDefinition(String name, String upstream, List<Worker> workers) {

	public CellDefinition {
		workers = List.copyOf(workers);
	}

}
