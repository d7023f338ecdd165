package io.shallotspur.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;

import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.InputException;
import io.shallotspur.node.forward.ForwardModel;
import io.shallotspur.node.forward.ForwardPlain;
import io.shallotspur.node.forward.ForwardRefused;
import io.shallotspur.node.forward.ForwardReply;
import io.shallotspur.node.forward.ForwardStarted;
import io.shallotspur.node.forward.ForwardTokens;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.port.PeerMessage;
import io.shallotspur.port.PeerNetwork;
import io.shallotspur.port.PlainCall;
import io.shallotspur.port.PlainReply;

/**
 * Sends requests to the entry VM that owns them. Thread-safe.
 * <p>
 * Invariant: a request whose forwarding broke is never reported as not run, since the
 * owner may have run it.
 */
final class Forwarder {

	/**
	 * How long after the deadline the owner's own refusal is waited for, in milliseconds.
	 * A peer that hangs without closing its connection would otherwise hold the caller
	 * for good.
	 */
	private static final long DEADLINE_MARGIN_MS = 1000;

	private final NodePorts ports;

	private final PeerNetwork peers;

	private final StreamResumer resumer;

	Forwarder(NodePorts ports, PeerNetwork peers, StreamResumer resumer) {
		this.ports = ports;
		this.peers = peers;
		this.resumer = resumer;
	}

	/**
	 * Has the owner run a model request. If the owner is lost while it generates, the
	 * rest is taken from the engine's stream, which outlives it.
	 * @param peer the owner
	 * @param a the terms of the request
	 * @param key the Idempotency-Key, or empty
	 * @param body the body
	 * @param hops how often the request was forwarded, this time included
	 * @return the answer; fails with {@link RefusedException}
	 */
	Flux<AnswerPart> model(String peer, Admission a, String key, byte[] body, int hops) {
		return Flux.defer(() -> {
			long ms = a.remainingMs(now());
			String customer = a.contract().customer();
			ForwardModel m = new ForwardModel(customer, a.requestClass().name(), key, ms, hops, body);
			Progress progress = new Progress();
			return bounded(peer, m, ms).concatMap(Forwarder::parts)
				.doOnNext(progress::take)
				.onErrorResume((ex) -> broken(peer, customer, progress, ex));
		});
	}

	/**
	 * Has the owner run a call to a plain service.
	 * @param peer the owner
	 * @param a the terms of the call
	 * @param upstream the upstream
	 * @param c the call
	 * @param hops how often the call was forwarded, this time included
	 * @return the answer; fails with {@link RefusedException}
	 */
	Mono<PlainReply> plain(String peer, Admission a, String upstream, PlainCall c, int hops) {
		return Mono.defer(() -> {
			long ms = a.remainingMs(now());
			ForwardPlain m = new ForwardPlain(a.contract().customer(), a.requestClass().name(), c.key(), ms, hops,
					upstream, c.method(), c.path(), c.contentType(), c.body());
			return bounded(peer, m, ms).next()
				.flatMap(Forwarder::reply)
				.switchIfEmpty(Mono.error(() -> new InputException("The owner ended without an answer.", peer)))
				.onErrorMap((ex) -> lost(peer, ex));
		});
	}

	private Flux<PeerMessage> bounded(String peer, PeerMessage m, long remainingMs) {
		// An error of the other publisher would end the answer without cancelling the
		// peer's stream, so the delay only completes, and the error follows.
		AtomicBoolean late = new AtomicBoolean();
		Mono<Long> end = Mono.delay(Duration.ofMillis(remainingMs + DEADLINE_MARGIN_MS))
			.doOnNext((x) -> late.set(true));
		return this.peers.stream(peer, m)
			.takeUntilOther(end)
			.concatWith(Mono.defer(() -> late.get()
					? Mono.error(new InputException("The owner did not end the request in time.", peer))
					: Mono.empty()));
	}

	private Publisher<AnswerPart> broken(String peer, String customer, Progress p, Throwable ex) {
		if (ex instanceof RefusedException || p.token.isEmpty()) {
			return Mono.error(lost(peer, ex));
		}
		Logger.info("[forward] {} is lost, the rest is taken from the engine.", peer);
		return this.resumer.resume(customer, p.token, p.next);
	}

	private static Publisher<AnswerPart> parts(PeerMessage m) {
		if (m instanceof ForwardTokens t) {
			return tokens(t.first(), t.texts());
		}
		if (m instanceof ForwardStarted s) {
			return Mono.just(new AnswerPart.Started(s.resumeToken()));
		}
		return Mono.error(unexpected(m));
	}

	private static Publisher<AnswerPart> tokens(long first, List<String> texts) {
		if (texts.size() == 1) {
			return Mono.just(new AnswerPart.Token(first, texts.get(0)));
		}
		return Flux.fromStream(
				IntStream.range(0, texts.size()).mapToObj((i) -> new AnswerPart.Token(first + i, texts.get(i))));
	}

	private static Mono<PlainReply> reply(PeerMessage m) {
		if (m instanceof ForwardReply r) {
			return Mono.just(new PlainReply(r.status(), r.contentType(), r.body()));
		}
		return Mono.error(unexpected(m));
	}

	private static Exception unexpected(PeerMessage m) {
		if (m instanceof ForwardRefused r) {
			return new RefusedException(r.toRefusal());
		}
		return new InputException("The owner answered with another message.", m.getClass().getSimpleName());
	}

	private static Throwable lost(String peer, Throwable ex) {
		if (ex instanceof RefusedException) {
			return ex;
		}
		Logger.warn("[forward] A request to {} broke: {}.", peer, ex.getMessage());
		return new RefusedException(
				Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, "The entry VM that ran the request was lost."));
	}

	private long now() {
		return this.ports.clock().getAsLong();
	}

	/**
	 * What the caller has of a forwarded answer. Confined to one subscription.
	 */
	private static final class Progress {

		private String token = "";

		private long next;

		void take(AnswerPart part) {
			if (part instanceof AnswerPart.Token t) {
				this.next = t.index() + 1;
			}
			else if (part instanceof AnswerPart.Started s) {
				this.token = s.resumeToken();
			}
		}

	}

}
