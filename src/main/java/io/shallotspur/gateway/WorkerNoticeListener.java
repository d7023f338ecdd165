package io.shallotspur.gateway;

/**
 * Receives the notices of workers, on the gateway's thread, before the response that
 * carries one is handled.
 */
@FunctionalInterface
public interface WorkerNoticeListener {

	/**
	 * A worker has stated something about itself.
	 * @param worker the worker as it was addressed
	 * @param notice what it stated; not {@link WorkerNotice#NONE}
	 */
	void onNotice(WorkerInfo worker, WorkerNotice notice);

}
