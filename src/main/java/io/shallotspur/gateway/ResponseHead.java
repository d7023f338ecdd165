package io.shallotspur.gateway;

import java.util.List;

/**
 * Status and header of a worker's answer. Immutable.
 *
 * @param status the HTTP status
 * @param headers the fields to be relayed, without those of one connection
 * @param authenticity whether the answer is the worker's answer to this request
 * @param notRun whether the worker says that it has not run the request and never will
 * @param otherIncarnation whether another incarnation has the address, so that the one that
 * was meant is gone
 * @param workerStatus what the worker says of itself
 */
public record ResponseHead(int status, List<HeaderField> headers, ResponseAuthenticity authenticity, boolean notRun,
		boolean otherIncarnation, WorkerStatus workerStatus) {

	private static final int MIN_SUCCESS_STATUS = 200;

	private static final int MIN_REDIRECT_STATUS = 300;

	/**
	 * Creates a head; the list is copied.
	 */
	public ResponseHead {
		headers = List.copyOf(headers);
	}

	/**
	 * Tells whether the status is one of success.
	 * @return {@code true} for 2xx
	 */
	public boolean isSuccess() {
		return this.status >= MIN_SUCCESS_STATUS && this.status < MIN_REDIRECT_STATUS;
	}

}
