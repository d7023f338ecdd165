package io.shallotspur.platform.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The API keys of the customers in a soak run. Each customer has a permanent key; the
 * first one also has a temporary key, which each new configuration replaces. Revoked keys
 * continue to be used, as stolen keys would be. Thread-safe.
 */
final class SoakKeys {

	/** How long a revoked key may still be accepted, in milliseconds. */
	static final long REVOKED_KEY_GRACE_MS = 5_000;

	private static final int CUSTOMERS = 3;

	private final List<String> temporaryKeys = new ArrayList<>();

	private final Map<String, Long> revokedAt = new ConcurrentHashMap<>();

	private static String customerName(int i) {
		return "customer-" + i;
	}

	/**
	 * Issues the next temporary key.
	 * @return the customers of the configuration to publish, as JSON objects
	 */
	synchronized String issueTemporaryKey() {
		String key = "passing-" + this.temporaryKeys.size();
		this.temporaryKeys.add(key);
		StringBuilder b = new StringBuilder();
		for (int i = 0; i < CUSTOMERS; i++) {
			b.append((i > 0) ? "," : "")
				.append("{\"name\":\"%s\",\"api_keys\":[\"lasting-%d\"%s],\"priority\":2}".formatted(customerName(i), i,
						(i == 0) ? ",\"" + key + "\"" : ""));
		}
		return b.toString();
	}

	/**
	 * Called when the store has acknowledged the newest temporary key, which revokes the
	 * earlier ones.
	 * @param nowMs the current time in milliseconds
	 */
	synchronized void onKeyPublished(long nowMs) {
		for (String k : this.temporaryKeys.subList(0, this.temporaryKeys.size() - 1)) {
			this.revokedAt.putIfAbsent(k, nowMs);
		}
	}

	synchronized String chooseKey(Random r) {
		return (r.nextInt(3) == 0) ? this.temporaryKeys.get(r.nextInt(this.temporaryKeys.size()))
				: "lasting-" + r.nextInt(CUSTOMERS);
	}

	/**
	 * Returns the customer that owns a key.
	 * @param key the API key
	 * @return the customer
	 */
	static String customerOf(String key) {
		return key.startsWith("lasting-") ? customerName(Integer.parseInt(key.substring("lasting-".length())))
				: customerName(0);
	}

	/**
	 * Checks whether a request with a key may run.
	 * @param key the API key
	 * @param sentAtMs when the request was sent, in milliseconds
	 * @return the violation, or empty if the request may run
	 */
	Optional<String> checkRevocation(String key, long sentAtMs) {
		Long revokedAtMs = this.revokedAt.get(key);
		return (revokedAtMs != null && sentAtMs > revokedAtMs + REVOKED_KEY_GRACE_MS)
				? Optional.of("sent-ms-after-revocation=" + (sentAtMs - revokedAtMs)) : Optional.empty();
	}

}
