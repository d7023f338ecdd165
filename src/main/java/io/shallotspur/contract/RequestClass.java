package io.shallotspur.contract;

import java.util.Objects;

/**
 * A class of requests in a contract, with its latency targets. Immutable.
 *
 * @param name unique within the contract
 * @param upstream the upstream that serves the class
 * @param priority the priority, at least 0; a smaller number takes precedence
 * @param ttftMs target for the time to first token (or, for a plain call, to the complete
 * response), in milliseconds
 * @param tbtMs target for the 95th percentile of the time between tokens within a
 * request, in milliseconds
 * @param deadlineMs time after which the response is useless to the caller, in
 * milliseconds
 * @param repeatable {@code false} if a request must not be run more than once
 */
public record RequestClass(String name, String upstream, int priority, long ttftMs, long tbtMs, long deadlineMs,
		boolean repeatable) {

	public RequestClass {
		Objects.requireNonNull(name);
		Objects.requireNonNull(upstream);
	}

}
