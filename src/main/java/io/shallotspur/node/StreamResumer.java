package io.shallotspur.node;

import java.time.Duration;

import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.port.TokenChunk;
import io.shallotspur.resume.ResumeClaims;
import io.shallotspur.resume.ResumeException;

/**
 * Gives callers the rest of answers that other entry VMs began: the engine goes on with
 * the stream, and nothing is prefilled again. Thread-safe.
 */
final class StreamResumer {

	private final NodePorts ports;

	private final StreamAdoptions adoptions;

	private final StreamCanceller canceller;

	StreamResumer(NodePorts ports, StreamAdoptions adoptions) {
		this.ports = ports;
		this.adoptions = adoptions;
		this.canceller = new StreamCanceller(ports);
	}

	/**
	 * Gives the rest of an answer.
	 * @param customer the customer that asks for it
	 * @param token the resume token
	 * @param fromIndex the index of the first token that is wanted
	 * @return the answer from there on; fails with {@link RefusedException}
	 */
	Flux<AnswerPart> resume(String customer, String token, long fromIndex) {
		return Flux.defer(() -> {
			try {
				ResumeClaims c = this.ports.resume().verify(token, customer, this.ports.clock().getAsLong());
				return read(c, token, Math.max(fromIndex, c.firstTokenIndex()));
			}
			catch (ResumeException ex) {
				return Flux.error(RefusedException.notRun(RefusalCode.MALFORMED_REQUEST, ex.getMessage()));
			}
		});
	}

	private Flux<AnswerPart> read(ResumeClaims c, String token, long fromIndex) {
		Flux<TokenChunk> chunks = this.ports.worker(c.workerId())
			.flatMapMany((w) -> this.ports.engine().decode(w, c.streamId(), fromIndex - c.firstTokenIndex()));
		Flux<AnswerPart> parts = chunks.<AnswerPart>map((t) -> new AnswerPart.Token(c.firstTokenIndex() + t.index(), t.text()))
			.startWith(new AnswerPart.Started(token))
			.onErrorMap((ex) -> lost(c, ex))
			.doOnCancel(() -> this.canceller.cancel(c.workerId(), c.streamId()));
		return Flux.using(() -> adopt(c), (d) -> parts, Disposable::dispose);
	}

	private Disposable adopt(ResumeClaims c) {
		Logger.info("[node] Stream {} is resumed.", c.streamId());
		return Flux.interval(Duration.ZERO, Duration.ofMillis(StreamAdoptions.REPEAT_MS))
			.onBackpressureDrop()
			.subscribe((i) -> this.adoptions.tell(c.workerId(), c.streamId()));
	}

	private static RefusedException lost(ResumeClaims c, Throwable ex) {
		Logger.warn("[node] Stream {} cannot be resumed: {}.", c.streamId(), ex.getMessage());
		return new RefusedException(
				Refusal.outcomeUnknown(RefusalCode.WORKER_LOST, "The rest of the answer is lost; send the request again."));
	}

}
