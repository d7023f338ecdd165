package io.shallotspur.gateway;

/**
 * Receives signs that a worker's process has ended. Called on the gateway's thread.
 */
interface WorkerEndListener {

	/**
	 * Called when another process has taken the place of a worker: at its address, or
	 * under its id.
	 * @param worker the worker that has ended
	 */
	void onReplaced(WorkerState worker);

	/**
	 * Called when the entry of a worker is gone: it has ended, is cut off from the store,
	 * or leaves without having announced it.
	 * @param worker the worker
	 */
	void onEntryRemoved(WorkerState worker);

}
