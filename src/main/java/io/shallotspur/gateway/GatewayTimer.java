package io.shallotspur.gateway;

/**
 * Runs things later on the gateway's thread.
 */
@FunctionalInterface
public interface GatewayTimer {

	/**
	 * Runs something once.
	 * @param delayMs after how many milliseconds
	 * @param task what is to be run
	 * @return cancels it when run; does nothing afterwards
	 */
	Runnable schedule(long delayMs, Runnable task);

}
