package io.shallotspur.port;

import java.util.function.Consumer;
import java.util.function.Function;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Messages between the entry VMs. Implementations are thread-safe. Failures are signalled
 * as {@link io.shallotspur.exc.PeerException}; a failed call may have reached the peer.
 */
public interface PeerNetwork {

	/**
	 * Sends a message that wants one answer.
	 * @param address the peer, {@code host:port}
	 * @param message the question
	 * @param timeoutMs how long to wait, in milliseconds
	 * @return the answer
	 */
	Mono<PeerMessage> ask(String address, PeerMessage message, long timeoutMs);

	/**
	 * Sends a message that wants a stream of answers. Cancelling the subscription is told
	 * to the peer, whose own stream is then cancelled.
	 * @param address the peer, {@code host:port}
	 * @param message the question
	 * @return the answers in order
	 */
	Flux<PeerMessage> stream(String address, PeerMessage message);

	/**
	 * Sends a message without an answer. It may be lost.
	 * @param address the peer, {@code host:port}
	 * @param message the message
	 */
	void send(String address, PeerMessage message);

	/**
	 * Sets who answers questions of one type. Called before the network is started.
	 * @param type the type of the question
	 * @param handler gives the answer
	 * @param <T> the type of the question
	 */
	<T extends PeerMessage> void onAsk(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler);

	/**
	 * Sets who answers streaming questions of one type. Called before the network is
	 * started.
	 * @param type the type of the question
	 * @param handler gives the answers
	 * @param <T> the type of the question
	 */
	<T extends PeerMessage> void onStream(Class<T> type, Function<T, Flux<? extends PeerMessage>> handler);

	/**
	 * Sets who takes messages of one type that want no answer. Called before the network
	 * is started.
	 * @param type the type of the message
	 * @param handler takes the message
	 * @param <T> the type of the message
	 */
	<T extends PeerMessage> void onSend(Class<T> type, Consumer<T> handler);

}
