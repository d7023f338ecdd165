package io.shallotspur.gateway;

/**
 * A call to a worker that is under way.
 */
@FunctionalInterface
public interface Exchange {

	/**
	 * Gives the call up: the worker is to stop working on it. No listener is called
	 * afterwards. Does nothing if the call has ended.
	 */
	void cancel();

}
