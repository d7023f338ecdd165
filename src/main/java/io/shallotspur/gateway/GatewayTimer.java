package io.shallotspur.gateway;

/**
 * Runs delayed tasks on the gateway's thread.
 */
@FunctionalInterface
public interface GatewayTimer {

	/**
	 * Schedules a task to run once.
	 * @param delayMs the delay in milliseconds
	 * @param task the task
	 * @return cancels the task when run; has no effect after the task ran
	 */
	Runnable schedule(long delayMs, Runnable task);

}
