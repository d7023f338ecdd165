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

	/**
	 * Stops reading the response, or goes on. The worker is still read once in a while,
	 * so that it does not break off. Has no effect if the call has ended.
	 * @param paused whether to stop
	 */
	default void setPaused(boolean paused) {
	}

}
