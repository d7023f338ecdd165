package io.shallotspur.stage;

import reactor.core.publisher.Mono;

import io.shallotspur.gateway.WorkerInfo;

/**
 * Calls to workers about their stage. Responses arrive on the gateway's thread; calls
 * without a response fail with {@link io.shallotspur.exc.EngineLostException}.
 */
public interface StagePort {

	/**
	 * Requests a worker's stage report.
	 * @param worker the worker
	 * @return the report
	 */
	Mono<StageReport> report(WorkerInfo worker);

	/**
	 * Sends an order. An order without a response may have been accepted, or may still be
	 * accepted later.
	 * @param order the order
	 * @return the worker's response
	 */
	Mono<OrderResult> order(StageOrder order);

}
