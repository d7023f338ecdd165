package io.shallotspur.stage;

import io.shallotspur.gateway.WorkerStage;

/**
 * What a worker says of its stage. Immutable.
 *
 * @param stage what it does
 * @param busy whether an order is being carried out
 * @param orders orders accepted since its start
 * @param startedAt when it started, in Unix milliseconds; 0 if it does not say
 */
public record StageReport(WorkerStage stage, boolean busy, long orders, long startedAt) {

}
