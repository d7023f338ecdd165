package io.shallotspur.stage;

import reactor.core.publisher.Mono;

import io.shallotspur.gateway.WorkerInfo;

/**
 * Calls to workers about their stage. Answers come on the gateway's thread; calls that
 * are not answered fail with {@link io.shallotspur.exc.EngineLostException}.
 */
public interface StagePort {

	/**
	 * Asks what a worker does.
	 * @param worker the worker
	 * @return its report
	 */
	Mono<StageReport> report(WorkerInfo worker);

	/**
	 * Gives an order. One without an answer may have been accepted, or be carried out
	 * later.
	 * @param order the order
	 * @return how it was taken
	 */
	Mono<OrderResult> order(StageOrder order);

}
