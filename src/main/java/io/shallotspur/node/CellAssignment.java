package io.shallotspur.node;

import java.util.List;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * The workers that one entry VM admits work to under one name. Immutable.
 *
 * @param cell the name of the cell, unique in the deployment
 * @param upstream the upstream the workers belong to
 * @param workers the workers: either prefill and decode workers, or plain ones
 */
public record CellAssignment(String cell, String upstream, List<Worker> workers) {

	public CellAssignment {
		workers = List.copyOf(workers);
	}

	/**
	 * Returns whether the workers serve plain calls.
	 * @return whether they do
	 */
	public boolean plain() {
		return this.workers.stream().anyMatch((w) -> w.role() == WorkerRole.PLAIN);
	}

}
