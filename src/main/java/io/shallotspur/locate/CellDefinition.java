package io.shallotspur.locate;

import java.util.List;

import io.shallotspur.fleet.Worker;

/**
 * Some workers of one upstream that are admitted to together. Immutable.
 *
 * @param name unique in the deployment
 * @param upstream the upstream
 * @param workers the workers, in order of their ids
 */
public record CellDefinition(String name, String upstream, List<Worker> workers) {

	public CellDefinition {
		workers = List.copyOf(workers);
	}

}
