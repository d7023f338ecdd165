package io.shallotspur.node;

import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import io.shallotspur.port.TokenChunk;

/**
 * One try to run a model request. Confined to the thread of the cell's loop, but for
 * {@link #relay} and the count of tokens, which the relaying thread uses too.
 */
final class ModelAttempt {

	private final ModelSession session;

	private final long number;

	private final String streamId;

	private final long base;

	private final Sinks.Empty<Void> stopped = Sinks.empty();

	private final AtomicInteger unreported = new AtomicInteger();

	private @Nullable Disposable call;

	private String decodeWorker;

	ModelAttempt(ModelSession session, long number, String streamId, String decodeWorker) {
		this.session = session;
		this.number = number;
		this.streamId = streamId;
		this.base = session.nextIndex();
		this.decodeWorker = decodeWorker;
	}

	ModelSession session() {
		return this.session;
	}

	long number() {
		return this.number;
	}

	String streamId() {
		return this.streamId;
	}

	long base() {
		return this.base;
	}

	String decodeWorker() {
		return this.decodeWorker;
	}

	void decodeWorker(String worker) {
		this.decodeWorker = worker;
	}

	void call(Disposable call) {
		this.call = call;
	}

	Mono<Void> stopped() {
		return this.stopped.asMono();
	}

	void stop() {
		this.stopped.tryEmitEmpty();
		if (this.call != null) {
			this.call.dispose();
		}
	}

	/**
	 * Takes a token of the engine's stream.
	 * @param chunk the token
	 * @return the token as a part of the whole answer
	 */
	AnswerPart relay(TokenChunk chunk) {
		this.session.append(chunk.text());
		return new AnswerPart.Token(this.base + chunk.index(), chunk.text());
	}

	/**
	 * Counts a token that the scheduler has not been told of.
	 * @return whether it is the first such token
	 */
	boolean count() {
		return this.unreported.getAndIncrement() == 0;
	}

	int takeUnreported() {
		return this.unreported.getAndSet(0);
	}

}
