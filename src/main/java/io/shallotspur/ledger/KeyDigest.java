package io.shallotspur.ledger;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Represents an {@link IntentKey} in stored records and messages as the first 128 bits of
 * a SHA-256 digest. A cryptographic hash is used so that no customer can construct a key
 * that collides with another customer's key. Immutable.
 *
 * @param hi the first 64 bits
 * @param lo the next 64 bits
 */
public record KeyDigest(long hi, long lo) {

	/**
	 * Computes the digest of a key.
	 * @param key the key
	 * @return its digest
	 */
	public static KeyDigest of(IntentKey key) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			byte[] customer = key.customer().getBytes(StandardCharsets.UTF_8);
			sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(customer.length).flip());
			sha.update(customer);
			sha.update(key.key().getBytes(StandardCharsets.UTF_8));
			ByteBuffer buffer = ByteBuffer.wrap(sha.digest());
			return new KeyDigest(buffer.getLong(), buffer.getLong());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is required of every Java platform but is not available", ex);
		}
	}

}
