package io.shallotspur.port;

import reactor.core.publisher.Mono;

import io.shallotspur.fleet.Worker;

/**
 * The plain services beside the engines. Implementations are thread-safe. Failures are
 * signalled as {@link io.shallotspur.exc.EngineRefusedException} (surely not run) or
 * {@link io.shallotspur.exc.EngineLostException} (may have been run).
 */
public interface PlainService {

	/**
	 * Sends a call to a worker.
	 * @param worker the worker
	 * @param call the call
	 * @return the whole answer
	 */
	Mono<PlainReply> call(Worker worker, PlainCall call);

}
