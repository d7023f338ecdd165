package io.shallotspur.port;

import java.util.List;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.fleet.Worker;

/**
 * The model engines. Implementations are thread-safe. Failures are signalled as
 * {@link io.shallotspur.exc.EngineRefusedException} (surely not run) or
 * {@link io.shallotspur.exc.EngineLostException} (may have been run). Cancelling a
 * subscription cancels the call at the engine.
 */
public interface Engine {

	/**
	 * Reads a prompt and keeps its KV cache for a transfer.
	 * @param worker the prefill worker
	 * @param streamId names the request at the engines: node, incarnation and attempt
	 * @param body the request as the caller sent it, JSON
	 * @param resumedText the answer so far, to be read as part of the prompt; empty at
	 * first
	 * @return the tokens that were read and computed
	 */
	Mono<PrefillResult> prefill(Worker worker, String streamId, byte[] body, String resumedText);

	/**
	 * Moves a KV cache.
	 * @param from the prefill worker that holds it
	 * @param to the decode worker that imports it
	 * @param streamId the name used for the prefill
	 * @return completes when the decode worker has it
	 */
	Mono<Void> transfer(Worker from, Worker to, String streamId);

	/**
	 * Generates.
	 * @param worker the decode worker that holds the KV cache
	 * @param streamId the name used for the prefill
	 * @param fromIndex the index of the first token wanted; over 0 to resume a stream the
	 * engine still holds
	 * @return the tokens in order; completes after the last one
	 */
	Flux<TokenChunk> decode(Worker worker, String streamId, long fromIndex);

	/**
	 * Drops all that a worker holds for a stream, at any stage.
	 * @param worker the worker
	 * @param streamId the stream
	 * @return completes when the worker has let go, also if it held nothing
	 */
	Mono<Void> cancel(Worker worker, String streamId);

	/**
	 * Lists the streams that a worker holds.
	 * @param worker the worker
	 * @return the stream ids
	 */
	Mono<List<String>> streams(Worker worker);

	/**
	 * Follows a worker's load reports and cache events. They lag and have gaps.
	 * @param worker the worker
	 * @return the reports; ends with an error if the worker is lost
	 */
	Flux<EngineReport> reports(Worker worker);

	/**
	 * Gives an order. Engines that check fencing refuse an order with an old number;
	 * others ignore the number.
	 * @param worker the worker
	 * @param order the order
	 * @return completes when the order is carried out
	 */
	Mono<Void> order(Worker worker, EngineOrder order);

}
