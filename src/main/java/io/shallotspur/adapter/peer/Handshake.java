package io.shallotspur.adapter.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import io.shallotspur.exc.PeerException;
import io.shallotspur.port.PeerMessage;

/**
 * The mutual challenge at the start of a link. Each side proves that it knows the secret
 * by an HMAC over both nonces and its own role, so that a proof can be neither replayed
 * on another link nor reflected. It says who opened the link; only TLS protects the
 * frames that follow. Immutable and thread-safe.
 */
final class Handshake {

	static final int VERSION = 1;

	static final int NONCE_BYTES = 32;

	private static final String HMAC = "HmacSHA256";

	private final String clusterId;

	private final SecretKeySpec key;

	private final SecureRandom random = new SecureRandom();

	Handshake(String clusterId, byte[] secret) {
		this.clusterId = clusterId;
		this.key = new SecretKeySpec(secret, HMAC);
	}

	byte[] nonce() {
		byte[] n = new byte[NONCE_BYTES];
		this.random.nextBytes(n);
		return n;
	}

	String clusterId() {
		return this.clusterId;
	}

	void checkHello(Hello hello) throws PeerException {
		if (hello.version() != VERSION) {
			throw new PeerException("peer speaks version " + hello.version() + ", this VM " + VERSION, null);
		}
		if (!this.clusterId.equals(hello.clusterId())) {
			throw new PeerException("peer belongs to cluster " + hello.clusterId(), null);
		}
		if (hello.nonce() == null || hello.nonce().length != NONCE_BYTES) {
			throw new PeerException("nonce has the wrong length", null);
		}
	}

	byte[] proof(String role, byte[] clientNonce, byte[] serverNonce) throws PeerException {
		try {
			Mac mac = Mac.getInstance(HMAC);
			mac.init(this.key);
			mac.update(role.getBytes(StandardCharsets.UTF_8));
			mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(VERSION).array());
			mac.update(clientNonce);
			mac.update(serverNonce);
			return mac.doFinal(this.clusterId.getBytes(StandardCharsets.UTF_8));
		}
		catch (GeneralSecurityException ex) {
			throw new PeerException("HMAC is not available", null, ex);
		}
	}

	void checkProof(String role, byte[] clientNonce, byte[] serverNonce, byte[] proof) throws PeerException {
		if (!MessageDigest.isEqual(proof(role, clientNonce, serverNonce), proof)) {
			throw new PeerException("peer does not know the shared secret", null);
		}
	}

	/**
	 * The client's first frame.
	 *
	 * @param version the version of the protocol
	 * @param clusterId the deployment
	 * @param nonce 32 random bytes
	 */
	record Hello(int version, String clusterId, byte[] nonce) implements PeerMessage {

	}

	/**
	 * The server's first frame.
	 *
	 * @param nonce 32 random bytes
	 * @param proof that the server knows the secret
	 */
	record Challenge(byte[] nonce, byte[] proof) implements PeerMessage {

	}

}
