package io.shallotspur.contract;

/**
 * One class of requests in a contract. Immutable.
 *
 * @param name unique within the contract
 * @param upstream the upstream that serves the class
 * @param priority a smaller number outranks a larger one; at least 0
 * @param ttftMs target for the time to the first token (or to the whole answer of a plain
 * call), in milliseconds
 * @param tbtMs target for the 95th percentile of a request's own gaps between tokens, in
 * milliseconds
 * @param deadlineMs after this many milliseconds the answer is of no use
 * @param repeatable {@code false} if a request may be run once at most
 */
public record RequestClass(String name, String upstream, int priority, long ttftMs, long tbtMs, long deadlineMs,
		boolean repeatable) {

}
