package io.shallotspur.node;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import io.shallotspur.exc.PeerException;
import io.shallotspur.port.PeerMessage;
import io.shallotspur.port.PeerNetwork;

/**
 * Peers within one process. Links can be cut.
 */
final class FakePeers {

	private final Map<String, Node> nodes = new ConcurrentHashMap<>();

	private final Map<String, Sinks.Empty<PeerMessage>> cuts = new ConcurrentHashMap<>();

	final AtomicInteger streams = new AtomicInteger();

	PeerNetwork node(String address) {
		return this.nodes.computeIfAbsent(address, (a) -> new Node());
	}

	/**
	 * Breaks the links to a node that lives on: both ends notice.
	 */
	void cut(String address) {
		this.nodes.remove(address);
		sink(address).tryEmitEmpty();
	}

	/**
	 * Breaks the links to a node that is dead: it notices nothing.
	 */
	void kill(String address) {
		this.nodes.remove(address);
		sink(address).tryEmitError(new PeerException("The link broke.", address));
	}

	private Sinks.Empty<PeerMessage> sink(String address) {
		return this.cuts.computeIfAbsent(address, (a) -> Sinks.empty());
	}

	private Mono<PeerMessage> checkLink(String address) {
		return this.nodes.containsKey(address) ? Mono.empty()
				: Mono.error(new PeerException("The link broke.", address));
	}

	private final class Node implements PeerNetwork {

		private final Map<Class<?>, Function<PeerMessage, Flux<? extends PeerMessage>>> handlers = new HashMap<>();

		private final Map<Class<?>, Consumer<PeerMessage>> takers = new HashMap<>();

		@Override
		public Mono<PeerMessage> ask(String address, PeerMessage message, long timeoutMs) {
			return stream(address, message).next();
		}

		@Override
		public Flux<PeerMessage> stream(String address, PeerMessage message) {
			return Flux.defer(() -> {
				Node n = FakePeers.this.nodes.get(address);
				if (n == null) {
					return Flux.error(new PeerException("No such peer.", address));
				}
				FakePeers.this.streams.incrementAndGet();
				Flux<PeerMessage> answers = Flux.from(n.handlers.get(message.getClass()).apply(message));
				return answers.takeUntilOther(sink(address).asMono()).concatWith(Mono.defer(() -> checkLink(address)));
			});
		}

		@Override
		public void send(String address, PeerMessage message) {
			Node n = FakePeers.this.nodes.get(address);
			if (n != null && n.takers.containsKey(message.getClass())) {
				n.takers.get(message.getClass()).accept(message);
			}
		}

		@Override
		public <T extends PeerMessage> void onAsk(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler) {
			this.handlers.put(type, (m) -> handler.apply(type.cast(m)).flux());
		}

		@Override
		public <T extends PeerMessage> void onStream(Class<T> type, Function<T, Flux<? extends PeerMessage>> handler) {
			this.handlers.put(type, (m) -> handler.apply(type.cast(m)));
		}

		@Override
		public <T extends PeerMessage> void onSend(Class<T> type, Consumer<T> handler) {
			this.takers.put(type, (m) -> handler.accept(type.cast(m)));
		}

	}

}
