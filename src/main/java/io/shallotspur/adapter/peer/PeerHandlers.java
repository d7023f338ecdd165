package io.shallotspur.adapter.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.PeerException;
import io.shallotspur.port.PeerMessage;

/**
 * Who answers which type of message. Thread-safe. Handlers run on an event loop and must
 * not block.
 */
final class PeerHandlers {

	private final Map<Class<?>, Function<PeerMessage, Flux<PeerMessage>>> questions = new ConcurrentHashMap<>();

	private final Map<Class<?>, Consumer<PeerMessage>> notices = new ConcurrentHashMap<>();

	<T extends PeerMessage> void onAsk(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler) {
		this.questions.put(type, (m) -> Flux.from(handler.apply(type.cast(m))).cast(PeerMessage.class));
	}

	<T extends PeerMessage> void onStream(Class<T> type, Function<T, Flux<? extends PeerMessage>> handler) {
		this.questions.put(type, (m) -> handler.apply(type.cast(m)).cast(PeerMessage.class));
	}

	<T extends PeerMessage> void onSend(Class<T> type, Consumer<T> handler) {
		this.notices.put(type, (m) -> handler.accept(type.cast(m)));
	}

	Flux<PeerMessage> answer(PeerMessage m) {
		Function<PeerMessage, Flux<PeerMessage>> h = this.questions.get(m.getClass());
		if (h == null) {
			return Flux.error(new PeerException("no handler for " + m.getClass().getSimpleName(), null));
		}
		return Flux.defer(() -> h.apply(m));
	}

	void take(PeerMessage m) {
		Consumer<PeerMessage> h = this.notices.get(m.getClass());
		if (h == null) {
			Logger.debug("[peer] No handler for {}.", m.getClass().getSimpleName());
			return;
		}
		try {
			h.accept(m);
		}
		catch (RuntimeException ex) {
			// A fault in one handler must not close the link that others use.
			Logger.error(ex, "[peer] Handler of {} failed.", m.getClass().getSimpleName());
		}
	}

}
