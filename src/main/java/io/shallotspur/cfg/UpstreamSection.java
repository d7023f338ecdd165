package io.shallotspur.cfg;

import java.util.List;

import io.shallotspur.fleet.Worker;

/**
 * One upstream with its workers. Immutable.
 *
 * @param name the name that contracts use
 * @param model {@code true} for a model, {@code false} for a plain service
 * @param checksFencing whether its workers refuse an order with an old fencing number
 * @param workers its workers
 */
public record UpstreamSection(String name, boolean model, boolean checksFencing, List<Worker> workers) {

	public UpstreamSection {
		workers = List.copyOf(workers);
	}

}
