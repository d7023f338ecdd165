package io.shallotspur.resume;

/**
 * A secret that signs tokens. Immutable; the array is copied.
 *
 * @param id names the key in tokens; not secret
 * @param secret at least 32 bytes
 */
public record ResumeKey(String id, byte[] secret) {

	/**
	 * The fewest bytes of a secret.
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
