package io.shallotspur.gateway;

import java.util.List;

/**
 * Status and header of a worker's answer. Immutable.
 *
 * @param status the HTTP status
 * @param headers the fields to be relayed, without those of one connection
 * @param origin whether the answer is the worker's answer to this request
 * @param notRun whether the worker says that it has not run the request and never will
 * @param otherWorker whether another incarnation has the address, so that the one that
 * was meant is gone
 * @param news what the worker says of itself
 */
public record AnswerHead(int status, List<HeaderField> headers, AnswerOrigin origin, boolean notRun,
		boolean otherWorker, WorkerNews news) {

	private static final int LEAST_SUCCESS = 200;

	private static final int LEAST_REDIRECT = 300;

	/**
	 * Creates a head; the list is copied.
	 */
	public AnswerHead {
		headers = List.copyOf(headers);
	}

	/**
	 * Tells whether the status is one of success.
	 * @return {@code true} for 2xx
	 */
	public boolean success() {
		return this.status >= LEAST_SUCCESS && this.status < LEAST_REDIRECT;
	}

}
