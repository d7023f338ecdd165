package io.shallotspur.adapter.peer;

import io.shallotspur.exc.PeerException;

/**
 * Reads and writes the messages of the handshake. Stateless.
 */
final class HandshakeCodec {

	private static final int HELLO = 1;

	private static final int CHALLENGE = 2;

	private static final PeerCodec CODEC = PeerCodec.builder()
		.register(HELLO, Handshake.Hello.class)
		.register(CHALLENGE, Handshake.Challenge.class)
		.build();

	private HandshakeCodec() {
	}

	static Frame write(Handshake.Hello m) throws PeerException {
		return new Frame(FrameKind.HELLO, 0, 0, CODEC.encode(m));
	}

	static Frame write(Handshake.Challenge m) throws PeerException {
		return new Frame(FrameKind.CHALLENGE, 0, 0, CODEC.encode(m));
	}

	static Handshake.Hello readHello(Frame f) throws PeerException {
		return (Handshake.Hello) CODEC.decode(HELLO, f.body());
	}

	static Handshake.Challenge readChallenge(Frame f) throws PeerException {
		return (Handshake.Challenge) CODEC.decode(CHALLENGE, f.body());
	}

}
