package io.shallotspur.quarantine;

import java.util.List;

/**
 * The requests of one node that were running on a worker when it crashed. Immutable.
 *
 * @param worker the name of the worker
 * @param upstream the upstream that the worker belongs to
 * @param runs the requests
 */
public record CrashedRuns(String worker, String upstream, List<CrashedRun> runs) {

	/**
	 * Creates an instance; the list is copied.
	 */
	public CrashedRuns {
		runs = List.copyOf(runs);
	}

}
