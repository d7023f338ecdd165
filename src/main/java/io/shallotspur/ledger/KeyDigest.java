package io.shallotspur.ledger;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Stands for an {@link IntentKey} in records and messages: the first half of a SHA-256,
 * so that no customer can find a key that collides with another's. Immutable.
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
			ByteBuffer b = ByteBuffer.wrap(sha.digest());
			return new KeyDigest(b.getLong(), b.getLong());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every JDK has SHA-256", ex);
		}
	}

}
