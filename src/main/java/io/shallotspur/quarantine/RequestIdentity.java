package io.shallotspur.quarantine;

import java.util.List;

/**
 * How a request, and what it shares with others, is recognized after a crash. Immutable.
 *
 * @param fingerprint the fingerprint of the whole request
 * @param parts the parts of its prompt that other requests may share, in their order
 */
public record RequestIdentity(long fingerprint, List<PartFingerprint> parts) {

	/**
	 * Creates an identity; the list is copied.
	 */
	public RequestIdentity {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the identity of a request that shares nothing with others.
	 * @param fingerprint the fingerprint of the whole request
	 * @return the identity
	 */
	public static RequestIdentity of(long fingerprint) {
		return new RequestIdentity(fingerprint, List.of());
	}

}
