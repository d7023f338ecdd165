package io.shallotspur.resume;

/**
 * Key that signs and verifies resume tokens. The constructor copies the array.
 *
 * @param id identifies the key in tokens; not secret
 * @param secret the HMAC secret, at least {@value #MIN_SECRET_BYTES} bytes
 */
public record ResumeKey(String id, byte[] secret) {

	/**
	 * Minimum length of a secret, in bytes.
	 */
	public static final int MIN_SECRET_BYTES = 32;

	public ResumeKey {
		if (secret.length < MIN_SECRET_BYTES) {
			throw new IllegalArgumentException("the secret of resume key " + id + " is shorter than 32 bytes");
		}
		secret = secret.clone();
	}

	@Override
	public String toString() {
		return "ResumeKey[id=" + this.id + "]";
	}

}
