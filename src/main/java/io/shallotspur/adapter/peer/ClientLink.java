package io.shallotspur.adapter.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;

import io.shallotspur.exc.PeerException;
import io.shallotspur.port.PeerMessage;

/**
 * The opening side of one connection. Thread-safe.
 * <p>
 * Invariant: each open call ends in an answer, an error, or its cancellation; when the
 * connection ends, all of them fail.
 */
final class ClientLink {

	private static final int IDLE_ROUNDS = 3;

	private static final int STREAM_WINDOW = 64;

	private final String address;

	private final Connection connection;

	private final FrameWriter writer;

	private final Handshake handshake;

	private final PeerCodec codec;

	private final PeerTraffic traffic;

	private final Sinks.One<ClientLink> ready = Sinks.one();

	private final Map<Long, FluxSink<PeerMessage>> open = new ConcurrentHashMap<>();

	private final AtomicLong ids = new AtomicLong();

	private final byte[] nonce;

	private final long idleCloseMs;

	private final long heartbeatMs;

	private volatile boolean welcomed;

	private volatile boolean closed;

	private volatile @Nullable PeerException failure;

	private long idleMs;

	// Whether nothing has been received since the latest call that answers it or shows
	// that the peer is alive.
	private volatile boolean unanswered;

	private volatile long latestCall;

	ClientLink(String address, Connection connection, PeerSettings settings, Handshake handshake, PeerCodec codec,
			PeerTraffic traffic) {
		this.address = address;
		this.connection = connection;
		this.writer = new FrameWriter(connection, settings, traffic);
		this.handshake = handshake;
		this.codec = codec;
		this.traffic = traffic;
		this.nonce = handshake.nonce();
		this.idleCloseMs = settings.idleCloseMs();
		this.heartbeatMs = settings.heartbeatMs();
	}

	/**
	 * Starts to read and opens the handshake.
	 * @return the link once both sides have proved that they know the secret
	 */
	Mono<ClientLink> open() {
		this.connection.onDispose(this::fail);
		this.connection.onWriteIdle(this.heartbeatMs, this::heartbeat);
		this.connection.onReadIdle(this.heartbeatMs * IDLE_ROUNDS, this::silence);
		this.connection.inbound().receive().asByteArray().subscribe(this::take, this::broken, this::ended);
		try {
			this.writer.write(HandshakeCodec
				.write(new Handshake.Hello(Handshake.VERSION, this.handshake.clusterId(), this.nonce)));
		}
		catch (PeerException ex) {
			close(ex);
		}
		return this.ready.asMono().doOnCancel(this.connection::dispose);
	}

	void onClose(Runnable then) {
		this.connection.onDispose(then::run);
	}

	void close(PeerException why) {
		if (this.failure == null) {
			this.failure = why;
		}
		this.connection.dispose();
	}

	Mono<PeerMessage> ask(PeerMessage question) {
		return call(question, FrameKind.ASK).next()
			.switchIfEmpty(Mono.error(() -> new PeerException("peer gave no answer", this.address)));
	}

	Flux<PeerMessage> stream(PeerMessage question) {
		return call(question, FrameKind.STREAM).limitRate(STREAM_WINDOW);
	}

	void send(PeerMessage message) throws PeerException {
		this.writer.write(new Frame(FrameKind.SEND, 0, this.codec.typeNumber(message), this.codec.encode(message)));
	}

	private Flux<PeerMessage> call(PeerMessage question, FrameKind kind) {
		return Flux.create((sink) -> start(question, kind, sink));
	}

	private void start(PeerMessage question, FrameKind kind, FluxSink<PeerMessage> sink) {
		long id = this.ids.incrementAndGet();
		this.open.put(id, sink);
		sink.onDispose(() -> forget(id));
		try {
			this.writer.write(new Frame(kind, id, this.codec.typeNumber(question), this.codec.encode(question)));
			this.latestCall = id;
			this.unanswered = true;
		}
		catch (PeerException ex) {
			this.open.remove(id);
			sink.error(ex);
			return;
		}
		// The connection may have ended between the look-up of this link and the entry
		// into the table; the sweep of the table is over then and nobody would answer.
		if (this.closed) {
			sink.error(lost());
			return;
		}
		if (kind == FrameKind.STREAM) {
			sink.onRequest((n) -> demand(id, n));
		}
	}

	private void demand(long id, long n) {
		tryWrite(new Frame(FrameKind.DEMAND, id, (int) Math.min(n, STREAM_WINDOW), new byte[0]));
	}

	private void forget(long id) {
		if (this.open.remove(id) != null) {
			tryWrite(Frame.of(FrameKind.CANCEL, id));
		}
	}

	private void tryWrite(Frame f) {
		try {
			this.writer.write(f);
		}
		catch (PeerException ex) {
			// A demand or cancellation that is not sent leaves the peer's stream open.
			close(ex);
		}
	}

	private void take(byte[] bytes) {
		try {
			Frame f = Frame.decode(bytes);
			this.traffic.received(FrameWriter.messageType(f), bytes.length);
			this.idleMs = 0;
			// The rest of an earlier response may arrive after the peer has fallen
			// silent.
			if (f.kind() == FrameKind.PONG || f.id() >= this.latestCall) {
				this.unanswered = false;
			}
			if (f.kind() == FrameKind.REJECT) {
				throw new PeerException("peer closed the link: " + f.text(), this.address);
			}
			if (this.welcomed) {
				deliver(f);
			}
			else {
				greet(f);
			}
		}
		catch (PeerException ex) {
			this.traffic.rejected();
			close(ex);
		}
	}

	private void greet(Frame f) throws PeerException {
		if (f.kind() == FrameKind.CHALLENGE) {
			Handshake.Challenge c = HandshakeCodec.readChallenge(f);
			if (c.nonce() == null || c.proof() == null) {
				throw new PeerException("challenge is incomplete", this.address);
			}
			this.handshake.checkProof("server", this.nonce, c.nonce(), c.proof());
			byte[] proof = this.handshake.proof("client", this.nonce, c.nonce());
			this.writer.write(new Frame(FrameKind.PROOF, 0, 0, proof));
		}
		else if (f.kind() == FrameKind.WELCOME) {
			this.welcomed = true;
			this.writer.raiseLimit();
			this.ready.tryEmitValue(this);
		}
		else {
			throw new PeerException("frame " + f.kind() + " before the handshake is done", this.address);
		}
	}

	private void deliver(Frame f) throws PeerException {
		switch (f.kind()) {
			case ANSWER -> answered(f);
			case COMPLETE -> end(f.id(), null);
			case FAIL -> end(f.id(), new PeerException(f.text(), this.address));
			case PONG -> {
			}
			default -> throw new PeerException("frame " + f.kind() + " is not for the opening side", this.address);
		}
	}

	private void answered(Frame f) throws PeerException {
		PeerMessage m = this.codec.decode(f.type(), f.body());
		FluxSink<PeerMessage> sink = this.open.get(f.id());
		// An answer to a call that was cancelled or timed out meanwhile is dropped.
		if (sink != null) {
			sink.next(m);
		}
	}

	private void end(long id, @Nullable PeerException ex) {
		FluxSink<PeerMessage> sink = this.open.remove(id);
		if (sink == null) {
			return;
		}
		if (ex != null) {
			sink.error(ex);
		}
		else {
			sink.complete();
		}
	}

	private void heartbeat() {
		this.idleMs += this.heartbeatMs;
		if (!this.open.isEmpty() || this.unanswered) {
			tryWrite(Frame.of(FrameKind.PING, 0));
		}
		else if (this.idleMs >= this.idleCloseMs) {
			close(new PeerException("link was idle", this.address));
		}
	}

	private void silence() {
		// A peer VM that vanished sends no end of the connection. Calls would hang until
		// their own timeout, and new ones would be queued for a dead link. Calls that
		// have timed out are no longer open.
		if (!this.open.isEmpty() || this.unanswered || !this.welcomed) {
			close(new PeerException("peer is silent", this.address));
		}
	}

	private void broken(Throwable ex) {
		close(new PeerException("connection failed: " + ex.getMessage(), this.address, ex));
	}

	private void ended() {
		close(new PeerException("peer closed the connection", this.address));
	}

	private void fail() {
		this.closed = true;
		this.ready.tryEmitError(lost());
		this.open.forEach((id, sink) -> {
			if (this.open.remove(id, sink)) {
				sink.error(lost());
			}
		});
	}

	private PeerException lost() {
		PeerException f = this.failure;
		return (f != null) ? f : new PeerException("connection ended", this.address);
	}

}
