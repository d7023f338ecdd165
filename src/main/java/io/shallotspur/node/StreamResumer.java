package io.shallotspur.node;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.tinylog.Logger;
import reactor.core.publisher.Flux;

import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.port.TokenChunk;

/**
 * Gives callers the rest of answers that other entry VMs began: the engine goes on with
 * the stream, and nothing is prefilled again. Thread-safe.
 */
final class StreamResumer {

	private final NodePorts ports;

	private final AdoptionListener listener;

	private final StreamCanceller canceller;

	private final Set<String> adopted = ConcurrentHashMap.newKeySet();

	StreamResumer(NodePorts ports, AdoptionListener listener) {
		this.ports = ports;
		this.listener = listener;
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
			Optional<ResumePoint> p = this.ports.resume()
				.verify(token, this.ports.clock().getAsLong())
				.filter((x) -> x.customer().equals(customer) && fromIndex >= x.base());
			if (p.isEmpty()) {
				return Flux.error(RefusedException.notRun(RefusalCode.MALFORMED_REQUEST,
						"The resume token is not valid for this customer and index."));
			}
			return read(p.get(), token, fromIndex);
		});
	}

	/**
	 * Returns the streams of other entry VMs that are being read here.
	 * @return the stream ids, a live view
	 */
	Set<String> adopted() {
		return this.adopted;
	}

	private Flux<AnswerPart> read(ResumePoint p, String token, long fromIndex) {
		Flux<TokenChunk> chunks = this.ports.worker(p.worker())
			.flatMapMany((w) -> this.ports.engine().decode(w, p.streamId(), fromIndex - p.base()));
		return chunks.<AnswerPart>map((c) -> new AnswerPart.Token(p.base() + c.index(), c.text()))
			.startWith(new AnswerPart.Started(token))
			.onErrorMap((ex) -> lost(p, ex))
			.doOnSubscribe((s) -> adopt(p))
			.doOnCancel(() -> this.canceller.cancel(p.worker(), p.streamId()))
			.doFinally((s) -> this.adopted.remove(p.streamId()));
	}

	private void adopt(ResumePoint p) {
		Logger.info("[node] Stream {} is resumed.", p.streamId());
		this.adopted.add(p.streamId());
		this.listener.adopted(p.worker(), p.streamId());
	}

	private static RefusedException lost(ResumePoint p, Throwable ex) {
		Logger.warn("[node] Stream {} cannot be resumed: {}.", p.streamId(), ex.getMessage());
		return new RefusedException(
				Refusal.unknown(RefusalCode.WORKER_LOST, "The rest of the answer is lost; send the request again."));
	}

	/**
	 * Learns that a stream of another entry VM is read here.
	 */
	@FunctionalInterface
	interface AdoptionListener {

		/**
		 * Takes the news.
		 * @param worker the worker that holds the stream
		 * @param streamId the stream
		 */
		void adopted(String worker, String streamId);

	}

}
