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
	 * Reads the response more slowly, or at full speed again. A worker that is not read
	 * at all would break off. Has no effect if the call has ended.
	 * @param paused whether to read slowly
	 */
	default void setPaused(boolean paused) {
	}

}
