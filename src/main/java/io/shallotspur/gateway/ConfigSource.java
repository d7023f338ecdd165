package io.shallotspur.gateway;

/**
 * Asks the operator's store for the newest configuration. Called on the gateway's thread,
 * and calls back on it.
 */
@FunctionalInterface
public interface ConfigSource {

	/**
	 * Asks. An answer is given to {@link Gateway#configure} and {@link Gateway#configConfirmed}
	 * before the task runs.
	 * @param onComplete run once, when the store has answered or cannot be reached
	 */
	void refresh(Runnable onComplete);

}
