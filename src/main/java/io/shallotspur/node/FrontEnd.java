package io.shallotspur.node;

import reactor.core.publisher.Mono;

/**
 * What callers connect to. Implementations are thread-safe.
 */
public interface FrontEnd {

	/**
	 * Starts to listen.
	 * @param handler takes the requests
	 * @return the address it listens on, {@code host:port}
	 */
	Mono<String> start(RequestHandler handler);

	/**
	 * Asks callers to connect elsewhere; requests go on being taken.
	 */
	void drain();

	/**
	 * Returns how many requests were read whose answers callers' connections have not
	 * passed on whole.
	 * @return the number
	 */
	int openAnswers();

	/**
	 * Stops to listen and closes the connections.
	 * @return completes when they are closed
	 */
	Mono<Void> stop();

}
