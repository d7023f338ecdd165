package io.shallotspur.node.order;

import reactor.core.publisher.Mono;

import io.shallotspur.fleet.Worker;
import io.shallotspur.port.EngineOrder;

/**
 * Asks an engine what it does, to see whether an order is in force. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface OrderReadBack {

	/**
	 * Reads back.
	 * @param worker the worker
	 * @param order the order
	 * @return whether the engine does what the order says
	 */
	Mono<Boolean> isInForce(Worker worker, EngineOrder order);

}
