package io.shallotspur.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import org.jspecify.annotations.Nullable;

/**
 * Computes the hashes by which a request is recognized when its caller sends it again,
 * and by which a part of its prompt is recognized in other requests. Stateless.
 * <p>
 * Ids, deadlines and other header fields differ between resends and are not included. The
 * hash is a truncated SHA-256, so that it does not reveal the body where it is stored or
 * logged, and no caller can construct a body that has the hash of another caller's
 * request.
 */
public final class RequestFingerprint {

	private RequestFingerprint() {
	}

	/**
	 * Computes the fingerprint of a request.
	 * @param customer the customer, or {@code null} if the caller is anonymous
	 * @param method the HTTP method
	 * @param host the requested host
	 * @param target path and query
	 * @param body the body
	 * @return the first 64 bits of the hash
	 */
	public static long of(@Nullable String customer, String method, String host, String target, byte[] body) {
		MessageDigest digest = sha256();
		update(digest, (customer != null) ? customer : "");
		update(digest, method);
		update(digest, host);
		update(digest, target);
		digest.update(body);
		return ByteBuffer.wrap(digest.digest()).getLong();
	}

	/**
	 * Computes the fingerprint of a part of a prompt.
	 * @param upstream the upstream
	 * @param part the id of the part
	 * @return the first 64 bits of the hash
	 */
	public static long ofPart(String upstream, String part) {
		return ofFields("part", upstream, part);
	}

	/**
	 * Computes the fingerprint of the prompts of one customer with a part.
	 * @param customer the customer, or {@code null} if the caller is anonymous
	 * @param upstream the upstream
	 * @param part the id of the part
	 * @return the first 64 bits of the hash
	 */
	public static long ofPartOfCustomer(@Nullable String customer, String upstream, String part) {
		return ofFields("part of customer", (customer != null) ? customer : "", upstream, part);
	}

	private static long ofFields(String... fields) {
		MessageDigest digest = sha256();
		for (String field : fields) {
			update(digest, field);
		}
		return ByteBuffer.wrap(digest.digest()).getLong();
	}

	// The length separates the fields: "ab" and "c" must not equal "a" and "bc".
	private static void update(MessageDigest digest, String field) {
		byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
		digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
		digest.update(bytes);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			// Every JDK provides SHA-256.
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
