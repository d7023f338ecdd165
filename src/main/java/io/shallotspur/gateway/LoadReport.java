package io.shallotspur.gateway;

import java.util.OptionalDouble;

/**
 * The load that a worker reports along with a response. Immutable.
 *
 * @param running number of requests that it runs
 * @param waiting number of requests in its queue
 * @param slots number of requests that it runs concurrently at most
 * @param slowdown the factor by which work takes longer at present than usual; empty if
 * the worker does not state it
 */
public record LoadReport(int running, int waiting, int slots, OptionalDouble slowdown) {

	/**
	 * Creates a report of a worker that does not state how long work takes.
	 * @param running number of requests that it runs
	 * @param waiting number of requests in its queue
	 * @param slots number of requests that it runs concurrently at most
	 */
	public LoadReport(int running, int waiting, int slots) {
		this(running, waiting, slots, OptionalDouble.empty());
	}

}
