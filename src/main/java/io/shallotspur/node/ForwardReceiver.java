package io.shallotspur.node;

import java.util.List;
import java.util.function.Supplier;

import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.contract.ContractSet;
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
 * Takes requests that other entry VMs forward here. Thread-safe. Every failure becomes a
 * message, so that the caller is told the same as if it had come here itself.
 */
final class ForwardReceiver {

	private final NodePorts ports;

	private final Supplier<ContractSet> contracts;

	private final StdRequestHandler handler;

	ForwardReceiver(NodePorts ports, Supplier<ContractSet> contracts, StdRequestHandler handler) {
		this.ports = ports;
		this.contracts = contracts;
		this.handler = handler;
	}

	/**
	 * Begins to take forwarded requests.
	 * @param peers the network they come over
	 */
	void listen(PeerNetwork peers) {
		peers.onStream(ForwardModel.class, this::model);
		peers.onStream(ForwardPlain.class, this::plain);
	}

	private Flux<PeerMessage> model(ForwardModel m) {
		return Flux.<AnswerPart>defer(() -> {
			try {
				Admission a = Admission.forwarded(this.contracts.get(), m.customer(), m.className(), m.key(),
						m.remainingMs(), now());
				return this.handler.model(a, m.key(), m.body(), m.hops());
			}
			catch (RefusedException ex) {
				return Flux.error(ex);
			}
		}).map(ForwardReceiver::message).onErrorResume((ex) -> Mono.just(refused(ex)));
	}

	private Flux<PeerMessage> plain(ForwardPlain m) {
		return Mono.<PlainReply>defer(() -> {
			try {
				Admission a = Admission.forwarded(this.contracts.get(), m.customer(), m.className(), m.key(),
						m.remainingMs(), now());
				PlainCall c = new PlainCall(m.method(), m.path(), m.contentType(), m.body(), m.key());
				return this.handler.plain(a, m.upstream(), c, m.hops());
			}
			catch (RefusedException ex) {
				return Mono.error(ex);
			}
		})
			.<PeerMessage>map((r) -> new ForwardReply(r.status(), r.contentType(), r.body()))
			.onErrorResume((ex) -> Mono.just(refused(ex)))
			.flux();
	}

	private static PeerMessage message(AnswerPart part) {
		if (part instanceof AnswerPart.Token t) {
			return new ForwardTokens(t.index(), List.of(t.text()));
		}
		return new ForwardStarted(((AnswerPart.Started) part).resumeToken());
	}

	private static PeerMessage refused(Throwable ex) {
		if (ex instanceof RefusedException r) {
			return ForwardRefused.of(r.getRefusal());
		}
		Logger.error(ex, "[forward] A forwarded request failed.");
		return ForwardRefused.of(Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, "The request failed in the router."));
	}

	private long now() {
		return this.ports.clock().getAsLong();
	}

}
