package io.shallotspur.node.ledger;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.exc.PeerException;
import io.shallotspur.port.PeerMessage;
import io.shallotspur.port.PeerNetwork;

/**
 * The links between the nodes of a test, in virtual time. Questions and answers get lost
 * by seeded chance.
 */
final class FakePeers {

	private final Scheduler time;

	private final SplittableRandom random;

	private final Map<String, End> ends = new HashMap<>();

	private int lossPercent;

	FakePeers(Scheduler time, long seed) {
		this.time = time;
		this.random = new SplittableRandom(seed);
	}

	PeerNetwork join(String address) {
		End e = new End();
		this.ends.put(address, e);
		return e;
	}

	void leave(String address) {
		this.ends.remove(address);
	}

	void setLossPercent(int percent) {
		this.lossPercent = percent;
	}

	private boolean isLost() {
		return this.random.nextInt(100) < this.lossPercent;
	}

	private Mono<Long> hop() {
		return isLost() ? Mono.never() : Mono.delay(Duration.ofMillis(1), this.time);
	}

	private Mono<PeerMessage> carry(String address, PeerMessage m) {
		return hop().flatMap((x) -> {
			End e = this.ends.get(address);
			return (e != null) ? e.answer(m) : Mono.error(new PeerException("no such node", address));
		}).flatMap((r) -> hop().map((x) -> r));
	}

	private final class End implements PeerNetwork {

		private final Map<Class<?>, Function<Object, Mono<? extends PeerMessage>>> handlers = new HashMap<>();

		private Mono<? extends PeerMessage> answer(PeerMessage m) {
			Function<Object, Mono<? extends PeerMessage>> h = this.handlers.get(m.getClass());
			return (h != null) ? h.apply(m) : Mono.error(new PeerException("no handler", null));
		}

		@Override
		public Mono<PeerMessage> ask(String address, PeerMessage message, long timeoutMs) {
			Mono<PeerMessage> late = Mono.error(() -> new PeerException("no answer in time", address));
			return Mono.defer(() -> carry(address, message))
				.timeout(Duration.ofMillis(timeoutMs), late, FakePeers.this.time);
		}

		@Override
		public Flux<PeerMessage> stream(String address, PeerMessage message) {
			return Flux.empty();
		}

		@Override
		public void send(String address, PeerMessage message) {
			// No message of the ledger is sent without an answer.
		}

		@Override
		public <T extends PeerMessage> void onAsk(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler) {
			this.handlers.put(type, (m) -> handler.apply(type.cast(m)));
		}

		@Override
		public <T extends PeerMessage> void onStream(Class<T> type, Function<T, Flux<? extends PeerMessage>> handler) {
			// No message of the ledger wants a stream.
		}

		@Override
		public <T extends PeerMessage> void onSend(Class<T> type, Consumer<T> handler) {
			// No message of the ledger is sent without an answer.
		}

	}

}
