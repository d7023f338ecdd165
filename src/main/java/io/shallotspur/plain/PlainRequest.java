package io.shallotspur.plain;

/**
 * The properties of a call to a plain upstream that the scheduler uses. Immutable.
 *
 * @param id unique among the requests of the node
 * @param customer the customer
 * @param className the class in the customer's contract
 * @param priority the priority of the class; a smaller number takes precedence
 * @param arrivedAt when the call arrived, in milliseconds
 * @param targetAt when the response should be complete, in milliseconds
 * @param deadlineAt when the response becomes useless to the caller, in milliseconds
 * @param repeatable whether the call may be run again after an attempt that may have run
 */
public record PlainRequest(String id, String customer, String className, int priority, long arrivedAt, long targetAt,
		long deadlineAt, boolean repeatable) {

}
