package io.shallotspur.stage;

import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;

/**
 * An order to a worker to change its stage. Immutable.
 *
 * @param worker the worker; a different incarnation at its address must not accept the
 * order
 * @param stage the stage to change to
 * @param holder the name of the VM that sends the order, which is the leader
 * @param fencingToken the fencing token of that VM's leadership
 * @param expectedOrderCount the number of orders that the worker has accepted so far; it
 * rejects an order with a different number, so a delayed duplicate has no effect
 */
public record StageOrder(WorkerInfo worker, WorkerStage stage, String holder, long fencingToken,
		long expectedOrderCount) {

}
