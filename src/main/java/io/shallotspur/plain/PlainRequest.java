package io.shallotspur.plain;

/**
 * A call to a plain service as the scheduler sees it. Immutable.
 *
 * @param id unique among the requests of the node
 * @param customer the customer
 * @param className the class in the customer's contract
 * @param priority as in the contract
 * @param arrivedAt when the call came, in milliseconds
 * @param targetAt when its answer should be there, in milliseconds
 * @param deadlineAt when its answer is of no more use, in milliseconds
 * @param repeatable whether it may be run a second time after a failure
 */
public record PlainRequest(String id, String customer, String className, int priority, long arrivedAt, long targetAt,
		long deadlineAt, boolean repeatable) {

}
