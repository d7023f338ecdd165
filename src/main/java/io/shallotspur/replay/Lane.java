package io.shallotspur.replay;

/**
 * One upstream of a replay: its scheduler and its fake workers. Not thread-safe.
 */
interface Lane {

	/**
	 * Hands a request to the scheduler.
	 * @param run the request
	 */
	void submit(Run run);

	/**
	 * Tells the scheduler that no caller of a request is left.
	 * @param run the request
	 */
	void callerGone(Run run);

	/**
	 * Returns whether a worker holds memory for a request.
	 * @param run the request
	 * @return whether anything is held
	 */
	boolean holds(Run run);

	/**
	 * Returns whether a worker belongs to this upstream.
	 * @param worker the worker
	 * @return whether it does
	 */
	boolean has(String worker);

	/**
	 * Kills a worker's process.
	 * @param worker the worker
	 */
	void crash(String worker);

	/**
	 * Marks a worker as leaving on the VM list.
	 * @param worker the worker
	 */
	void leave(String worker);

	/**
	 * Stops the transfers to a worker for a while.
	 * @param worker the worker
	 * @param forMs how long, in milliseconds
	 */
	void stall(String worker, long forMs);

}
