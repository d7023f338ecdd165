package io.shallotspur.stage;

import io.shallotspur.gateway.WorkerStage;

/**
 * What a worker says of its stage. Immutable.
 *
 * @param stage what it does
 * @param orderInProgress whether an order is being carried out
 * @param acceptedOrders orders accepted since its start
 * @param startedAt when it started, in Unix milliseconds; 0 if it does not say
 */
public record StageReport(WorkerStage stage, boolean orderInProgress, long acceptedOrders, long startedAt) {

}
