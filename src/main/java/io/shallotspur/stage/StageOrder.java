package io.shallotspur.stage;

import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;

/**
 * An order to a worker to change over. Immutable.
 *
 * @param worker the worker; a different one at its address must not take the order
 * @param stage what it is to do
 * @param holder the VM that gives the order
 * @param fencingToken the fencing number of the VM's duty
 * @param expectedOrderCount the orders that the worker has accepted; with a different number
 * it refuses, so that an order which arrives late changes nothing
 */
public record StageOrder(WorkerInfo worker, WorkerStage stage, String holder, long fencingToken, long expectedOrderCount) {

}
