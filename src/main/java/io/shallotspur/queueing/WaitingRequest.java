package io.shallotspur.queueing;

/**
 * A request that waits for capacity.
 */
public interface WaitingRequest {

	/**
	 * Returns the priority.
	 * @return the priority; 0 is the highest
	 */
	int priority();

	/**
	 * Returns whether the request can no longer meet its latency objective.
	 * @return {@code true} if it is late
	 */
	boolean isLate();

	/**
	 * Returns the latest time at which it can start and still be on time.
	 * @return the time in milliseconds
	 */
	long latestStart();

	/**
	 * Returns when it stops waiting.
	 * @return the time in milliseconds
	 */
	long waitDeadline();

	/**
	 * Returns since when it has waited.
	 * @return the time in milliseconds
	 */
	long enqueuedAt();

	/**
	 * Returns its position in the order of arrival.
	 * @return a number that is unique within the queue
	 */
	long sequence();

}
