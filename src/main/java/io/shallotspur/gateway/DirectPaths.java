package io.shallotspur.gateway;

/**
 * What a VM knows of its direct network paths to workers, for calls that must come from
 * its own machine. Confined to the gateway's thread.
 */
public interface DirectPaths {

	/**
	 * Tells whether such a call is likely to arrive.
	 * @param worker the worker
	 * @return {@code false} if the direct path is lost, or nothing was heard on it since
	 * others were
	 */
	boolean reachesDirectly(WorkerInfo worker);

	/**
	 * Checks the direct path to a worker if nothing was heard on it since others were
	 * lost.
	 * @param worker the worker
	 */
	void checkSuspected(WorkerInfo worker);

	/**
	 * Records that a call other than a request had no answer, so that the path to the
	 * worker is checked. A VM without callers learns of lost paths in no other way.
	 * @param worker the worker
	 */
	void callUnanswered(WorkerInfo worker);

}
