package io.shallotspur.resume;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Issues and verifies resume tokens. A token consists of the claims in MessagePack and
 * their HMAC-SHA-256, each encoded in base64url and separated by a dot. Immutable and
 * thread-safe.
 * <p>
 * Invariant: claims are returned only if one of the keys signed them, they belong to the
 * given customer and the token has not expired. The first key signs and all keys verify,
 * so a key is rotated by adding the new one last on all nodes, then moving it first, then
 * removing the old one.
 */
public final class ResumeTokens {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int MAX_TOKEN_LENGTH = 2_048;

	private final Map<String, ResumeKey> keysById = new LinkedHashMap<>();

	private final ResumeKey signingKey;

	private final long ttlMs;

	/**
	 * Creates an instance that issues and verifies tokens.
	 * @param keys the keys, at least one; the first one signs
	 * @param ttlMs how long a token is valid, in milliseconds
	 */
	public ResumeTokens(List<ResumeKey> keys, long ttlMs) {
		if (keys.isEmpty()) {
			throw new IllegalArgumentException("at least one resume key is required");
		}
		keys.forEach((k) -> this.keysById.put(k.id(), k));
		this.signingKey = keys.get(0);
		this.ttlMs = ttlMs;
	}

	/**
	 * Issues a token.
	 * @param claims the contents of the token
	 * @param now the current time in milliseconds
	 * @return the token, which contains only characters that are allowed in a header
	 */
	public String issue(ResumeClaims claims, long now) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packString(this.signingKey.id()).packLong(now + this.ttlMs);
			packer.packString(claims.customer()).packString(claims.workerId()).packString(claims.streamId());
			packer.packLong(claims.firstTokenIndex()).packLong(claims.contractRevision());
			byte[] body = packer.toByteArray();
			Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
			return encoder.encodeToString(body) + "." + encoder.encodeToString(sign(this.signingKey, body));
		}
		catch (IOException ex) {
			throw new IllegalStateException("unexpected I/O error while writing to an in-memory buffer", ex);
		}
	}

	/**
	 * Verifies a token.
	 * @param token the token as the caller sent it
	 * @param customer the authenticated customer of the caller
	 * @param now the current time in milliseconds
	 * @return the contents of the token
	 * @throws ResumeException if the token is refused
	 */
	public ResumeClaims verify(String token, String customer, long now) throws ResumeException {
		int dot = token.indexOf('.');
		if (dot <= 0 || token.length() > MAX_TOKEN_LENGTH) {
			throw new ResumeException(ResumeFault.MALFORMED);
		}
		byte[] body = decode(token.substring(0, dot));
		byte[] signature = decode(token.substring(dot + 1));
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
			ResumeKey key = this.keysById.get(unpacker.unpackString());
			if (key == null) {
				throw new ResumeException(ResumeFault.UNKNOWN_KEY);
			}
			// Constant-time comparison; its duration reveals nothing about the signature.
			if (!MessageDigest.isEqual(signature, sign(key, body))) {
				throw new ResumeException(ResumeFault.FORGED);
			}
			long expiresAt = unpacker.unpackLong();
			ResumeClaims claims = new ResumeClaims(unpacker.unpackString(), unpacker.unpackString(),
					unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong());
			return checkClaims(claims, customer, expiresAt, now);
		}
		catch (IOException | RuntimeException ex) {
			throw new ResumeException(ResumeFault.MALFORMED);
		}
	}

	private static ResumeClaims checkClaims(ResumeClaims claims, String customer, long expiresAt, long now)
			throws ResumeException {
		if (now >= expiresAt) {
			throw new ResumeException(ResumeFault.EXPIRED);
		}
		if (!claims.customer().equals(customer)) {
			throw new ResumeException(ResumeFault.OTHER_CUSTOMER);
		}
		return claims;
	}

	private static byte[] decode(String text) throws ResumeException {
		try {
			return Base64.getUrlDecoder().decode(text.getBytes(StandardCharsets.ISO_8859_1));
		}
		catch (IllegalArgumentException ex) {
			throw new ResumeException(ResumeFault.MALFORMED);
		}
	}

	private static byte[] sign(ResumeKey key, byte[] body) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
			return mac.doFinal(body);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("HmacSHA256 is not available in this Java runtime", ex);
		}
	}

}
