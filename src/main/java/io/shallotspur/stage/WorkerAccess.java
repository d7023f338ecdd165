package io.shallotspur.stage;

import io.shallotspur.gateway.WorkerInfo;

/**
 * What this VM knows of its access to workers. Confined to the gateway's thread.
 */
interface WorkerAccess {

	/**
	 * Returns for how long a worker must not be sent anything.
	 * @param worker the worker
	 * @return milliseconds; 0 if it has not asked for a pause
	 */
	long pauseRemainingMs(WorkerInfo worker);

	/**
	 * Tells whether an order is likely to reach a worker on the direct path, the only one
	 * on which it comes from this VM's machine.
	 * @param worker the worker
	 * @return {@code false} if that path is lost, or nothing was heard on it since others
	 * were
	 */
	boolean isDirect(WorkerInfo worker);

	/**
	 * Checks the direct path to a worker if nothing was heard on it since others were
	 * lost.
	 * @param worker the worker
	 */
	void checkSuspected(WorkerInfo worker);

	/**
	 * Records that a call to a worker had no answer.
	 * @param worker the worker
	 */
	void onNoAnswer(WorkerInfo worker);

}
