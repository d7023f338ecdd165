package io.shallotspur.stage;

import io.shallotspur.gateway.WorkerStage;

/**
 * A worker's report about its stage. Immutable.
 *
 * @param stage the current stage
 * @param orderInProgress whether the worker is carrying out an order
 * @param acceptedOrders number of orders accepted since the worker started
 * @param startedAt when the worker started, in Unix milliseconds; 0 if not reported
 */
public record StageReport(WorkerStage stage, boolean orderInProgress, long acceptedOrders, long startedAt) {

}
