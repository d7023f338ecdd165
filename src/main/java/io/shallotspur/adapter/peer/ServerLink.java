package io.shallotspur.adapter.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscription;
import org.tinylog.Logger;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;

import io.shallotspur.exc.PeerException;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.port.PeerMessage;

/**
 * The accepting side of one connection. Frames are taken on the connection's event loop;
 * answers may be written by any thread.
 * <p>
 * Invariant: nothing but a handshake is read before the peer has proved that it knows the
 * secret.
 */
final class ServerLink {

	private static final int MAX_OPEN_QUESTIONS = 16_384;

	private static final int IDLE_ROUNDS = 4;

	private final Connection connection;

	private final FrameWriter writer;

	private final Handshake handshake;

	private final PeerCodec codec;

	private final PeerHandlers handlers;

	private final PeerTraffic traffic;

	private final Map<Long, Answerer> open = new ConcurrentHashMap<>();

	private final long maxSilenceMs;

	private byte @Nullable [] clientNonce;

	private byte[] serverNonce = new byte[0];

	private boolean authenticated;

	ServerLink(Connection connection, PeerSettings settings, Handshake handshake, PeerCodec codec,
			PeerHandlers handlers, PeerTraffic traffic) {
		this.connection = connection;
		this.writer = new FrameWriter(connection, settings, traffic);
		this.handshake = handshake;
		this.codec = codec;
		this.handlers = handlers;
		this.traffic = traffic;
		this.maxSilenceMs = settings.idleCloseMs() + IDLE_ROUNDS * settings.heartbeatMs();
		connection.channel()
			.eventLoop()
			.schedule(this::closeUnlessAuthenticated, settings.connectTimeoutMs(), TimeUnit.MILLISECONDS);
		connection.onDispose(this::closed);
	}

	Mono<Void> run() {
		return this.connection.inbound().receive().asByteArray().doOnNext(this::take).then().onErrorResume((ex) -> {
			reject("connection failed: " + ex.getMessage());
			return Mono.empty();
		});
	}

	private void closeUnlessAuthenticated() {
		// A connection that never finishes its handshake would hold one of the places.
		if (!this.authenticated && this.connection.channel().isActive()) {
			reject("handshake took too long");
		}
	}

	private void take(byte[] bytes) {
		try {
			Frame f = Frame.decode(bytes);
			this.traffic.received(FrameWriter.messageType(f), bytes.length);
			if (this.authenticated) {
				serve(f);
			}
			else {
				greet(f);
			}
		}
		catch (PeerException ex) {
			reject(ex.getMessage());
		}
	}

	private void greet(Frame f) throws PeerException {
		byte[] nonce = this.clientNonce;
		if (f.kind() == FrameKind.HELLO && nonce == null) {
			challenge(HandshakeCodec.readHello(f));
		}
		else if (f.kind() == FrameKind.PROOF && nonce != null) {
			this.handshake.checkProof("client", nonce, this.serverNonce, f.body());
			this.authenticated = true;
			this.writer.raiseLimit();
			this.connection.onReadIdle(this.maxSilenceMs, this.connection::dispose);
			this.writer.write(Frame.of(FrameKind.WELCOME, 0));
		}
		else {
			throw new PeerException("frame " + f.kind() + " before the handshake is done", null);
		}
	}

	private void challenge(Handshake.Hello hello) throws PeerException {
		this.handshake.checkHello(hello);
		this.clientNonce = hello.nonce();
		this.serverNonce = this.handshake.nonce();
		byte[] proof = this.handshake.proof("server", hello.nonce(), this.serverNonce);
		this.writer.write(HandshakeCodec.write(new Handshake.Challenge(this.serverNonce, proof)));
	}

	private void serve(Frame f) throws PeerException {
		switch (f.kind()) {
			case ASK -> answer(f, 1);
			case STREAM -> answer(f, 0);
			case SEND -> this.handlers.take(this.codec.decode(f.type(), f.body()));
			case DEMAND -> demand(f);
			case CANCEL -> cancel(f.id());
			case PING -> this.writer.write(Frame.of(FrameKind.PONG, 0));
			default -> throw new PeerException("frame " + f.kind() + " is not for the accepting side", null);
		}
	}

	private void answer(Frame f, long demand) throws PeerException {
		PeerMessage question = this.codec.decode(f.type(), f.body());
		if (this.open.size() >= MAX_OPEN_QUESTIONS) {
			this.writer.write(Frame.text(FrameKind.FAIL, f.id(), "too many open questions"));
			return;
		}
		Answerer a = new Answerer(f.id(), demand);
		if (this.open.putIfAbsent(f.id(), a) != null) {
			throw new PeerException("question id " + f.id() + " is in use", null);
		}
		this.handlers.answer(question).subscribe(a);
	}

	private void demand(Frame f) throws PeerException {
		if (f.type() <= 0) {
			throw new PeerException("demand of " + f.type(), null);
		}
		Answerer a = this.open.get(f.id());
		if (a != null) {
			a.request(f.type());
		}
	}

	private void cancel(long id) {
		Answerer a = this.open.remove(id);
		if (a != null) {
			a.cancel();
		}
	}

	private void reject(@Nullable String reason) {
		if (!this.connection.channel().isActive()) {
			return;
		}
		this.traffic.rejected();
		Logger.warn("[peer] Closed the link from {}: {}.", this.connection.channel().remoteAddress(), reason);
		this.writer.reject(String.valueOf(reason));
	}

	private void closed() {
		this.open.values().forEach(BaseSubscriber::cancel);
		this.open.clear();
	}

	/**
	 * Writes the answers to one question as far as the asker wants them.
	 */
	private final class Answerer extends BaseSubscriber<PeerMessage> {

		private final long id;

		private final long firstDemand;

		private Answerer(long id, long firstDemand) {
			this.id = id;
			this.firstDemand = firstDemand;
		}

		@Override
		protected void hookOnSubscribe(Subscription s) {
			if (this.firstDemand > 0) {
				request(this.firstDemand);
			}
		}

		@Override
		protected void hookOnNext(PeerMessage m) {
			try {
				ServerLink.this.writer.write(new Frame(FrameKind.ANSWER, this.id, ServerLink.this.codec.typeNumber(m),
						ServerLink.this.codec.encode(m)));
			}
			catch (PeerException ex) {
				cancel();
				hookOnError(ex);
			}
		}

		@Override
		protected void hookOnComplete() {
			end(Frame.of(FrameKind.COMPLETE, this.id));
		}

		@Override
		protected void hookOnError(Throwable ex) {
			if (!(ex instanceof ShallotspurException)) {
				Logger.error(ex, "[peer] A handler failed.");
			}
			end(Frame.text(FrameKind.FAIL, this.id, String.valueOf(ex.getMessage())));
		}

		private void end(Frame last) {
			ServerLink.this.open.remove(this.id, this);
			try {
				ServerLink.this.writer.write(last);
			}
			catch (PeerException ex) {
				// Without its last frame the asker would wait for ever, or take part of
				// an answer for the whole. Closing the link fails its calls instead.
				reject(ex.getMessage());
			}
		}

	}

}
