package io.shallotspur.gateway;

import java.util.List;

/**
 * Status line and header of a worker's response. Immutable.
 *
 * @param status the HTTP status
 * @param headers the fields to be relayed, without hop-by-hop fields
 * @param authenticity whether the response is known to be the worker's response to this
 * request
 * @param notRun whether the worker states that it has not run the request and never will
 * @param instanceReplaced whether the response comes from another instance at the
 * worker's address; a worker that has changed its stage responds in the same way
 * @param workerStatus load and limit that the worker reported with the response
 * @param endsWithConnection whether the response has neither a length nor chunks, so that
 * its end cannot be told from a closed connection
 */
public record ResponseHead(int status, List<HeaderField> headers, ResponseAuthenticity authenticity, boolean notRun,
		boolean instanceReplaced, WorkerStatus workerStatus, boolean endsWithConnection) {

	private static final int MIN_SUCCESS_STATUS = 200;

	private static final int MIN_REDIRECT_STATUS = 300;

	/**
	 * Creates a response head; the list is copied.
	 */
	public ResponseHead {
		headers = List.copyOf(headers);
	}

	/**
	 * Creates the head of a response that states where it ends.
	 * @param status the HTTP status
	 * @param headers the fields to be relayed
	 * @param authenticity whether it is the worker's response to this request
	 * @param notRun whether the worker states that it has not run the request
	 * @param instanceReplaced whether it comes from another instance
	 * @param workerStatus load and limit that the worker reported
	 */
	public ResponseHead(int status, List<HeaderField> headers, ResponseAuthenticity authenticity, boolean notRun,
			boolean instanceReplaced, WorkerStatus workerStatus) {
		this(status, headers, authenticity, notRun, instanceReplaced, workerStatus, false);
	}

	/**
	 * Returns whether the status is a success.
	 * @return {@code true} for 2xx
	 */
	public boolean isSuccess() {
		return this.status >= MIN_SUCCESS_STATUS && this.status < MIN_REDIRECT_STATUS;
	}

}
