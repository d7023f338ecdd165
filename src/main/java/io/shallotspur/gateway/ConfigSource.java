package io.shallotspur.gateway;

/**
 * Fetches the newest configuration from the operator's store. Called on the gateway's
 * thread, and calls back on it.
 */
@FunctionalInterface
public interface ConfigSource {

	/**
	 * Requests the newest configuration. A response is passed to
	 * {@link Gateway#configure} and {@link Gateway#configConfirmed} before the callback
	 * runs.
	 * @param onComplete run once, when the store has responded or cannot be reached
	 */
	void refresh(Runnable onComplete);

}
