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
 * Makes and checks resume tokens: a MessagePack claim and its HMAC-SHA-256, each in
 * base64url with a dot between them. Immutable and thread-safe.
 * <p>
 * Invariant: a claim is returned only if one of the keys signed it, for that customer,
 * and its time has not run out. The first key signs; all keys verify, so a key is rotated
 * by adding the new one last on all nodes, then moving it first, then removing the old.
 */
public final class ResumeTokens {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int MAX_LENGTH = 2_048;

	private final Map<String, ResumeKey> keys = new LinkedHashMap<>();

	private final ResumeKey signer;

	private final long ttlMs;

	/**
	 * Creates a maker of tokens.
	 * @param keys the keys, the one that signs first; at least one
	 * @param ttlMs how long a token is good, in milliseconds
	 */
	public ResumeTokens(List<ResumeKey> keys, long ttlMs) {
		if (keys.isEmpty()) {
			throw new IllegalArgumentException("there must be a resume key");
		}
		keys.forEach((k) -> this.keys.put(k.id(), k));
		this.signer = keys.get(0);
		this.ttlMs = ttlMs;
	}

	/**
	 * Makes a token.
	 * @param claim what it says
	 * @param now the present time in milliseconds
	 * @return the token, made of characters that fit in a header
	 */
	public String issue(ResumeClaims claim, long now) {
		try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
			p.packString(this.signer.id()).packLong(now + this.ttlMs);
			p.packString(claim.customer()).packString(claim.workerId()).packString(claim.streamId());
			p.packLong(claim.firstTokenIndex()).packLong(claim.contractRevision());
			byte[] body = p.toByteArray();
			Base64.Encoder b64 = Base64.getUrlEncoder().withoutPadding();
			return b64.encodeToString(body) + "." + b64.encodeToString(sign(this.signer, body));
		}
		catch (IOException ex) {
			throw new IllegalStateException("a buffer in memory does no input or output", ex);
		}
	}

	/**
	 * Checks a token.
	 * @param token the token as the caller sent it
	 * @param customer the customer that the caller proved to be
	 * @param now the present time in milliseconds
	 * @return what the token says
	 * @throws ResumeException if it is refused
	 */
	public ResumeClaims verify(String token, String customer, long now) throws ResumeException {
		int dot = token.indexOf('.');
		if (dot <= 0 || token.length() > MAX_LENGTH) {
			throw new ResumeException(ResumeFault.MALFORMED);
		}
		byte[] body = decode(token.substring(0, dot));
		byte[] mac = decode(token.substring(dot + 1));
		try (MessageUnpacker u = MessagePack.newDefaultUnpacker(body)) {
			ResumeKey key = this.keys.get(u.unpackString());
			if (key == null) {
				throw new ResumeException(ResumeFault.UNKNOWN_KEY);
			}
			// Compared in constant time, so that its duration tells a forger nothing.
			if (!MessageDigest.isEqual(mac, sign(key, body))) {
				throw new ResumeException(ResumeFault.FORGED);
			}
			long expiresAt = u.unpackLong();
			ResumeClaims c = new ResumeClaims(u.unpackString(), u.unpackString(), u.unpackString(), u.unpackLong(),
					u.unpackLong());
			return check(c, customer, expiresAt, now);
		}
		catch (IOException | RuntimeException ex) {
			throw new ResumeException(ResumeFault.MALFORMED);
		}
	}

	private static ResumeClaims check(ResumeClaims c, String customer, long expiresAt, long now) throws ResumeException {
		if (now >= expiresAt) {
			throw new ResumeException(ResumeFault.EXPIRED);
		}
		if (!c.customer().equals(customer)) {
			throw new ResumeException(ResumeFault.OTHER_CUSTOMER);
		}
		return c;
	}

	private static byte[] decode(String s) throws ResumeException {
		try {
			return Base64.getUrlDecoder().decode(s.getBytes(StandardCharsets.ISO_8859_1));
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
			throw new IllegalStateException("every JDK has HmacSHA256", ex);
		}
	}

}
