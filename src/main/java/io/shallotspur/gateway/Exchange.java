package io.shallotspur.gateway;

/**
 * A call to a worker that is in progress.
 */
@FunctionalInterface
public interface Exchange {

	/**
	 * Cancels the call and tells the worker to stop. No listener method is called
	 * afterwards. Has no effect if the call has ended.
	 */
	void cancel();

}
