package io.shallotspur.platform.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The keys of the soak's customers: one each that stays, and one that is revoked with the
 * next configuration and goes on being used by someone who has stolen it. Thread-safe.
 */
final class SoakKeys {

	/** How long a revoked key may still be used, in milliseconds. */
	static final long REVOKED_MS = 5_000;

	private static final int CUSTOMERS = 3;

	private final List<String> issued = new ArrayList<>();

	private final Map<String, Long> revokedAt = new ConcurrentHashMap<>();

	private static String customer(int i) {
		return "customer-" + i;
	}

	/**
	 * Issues the next key that will be revoked.
	 * @return what the operator publishes of the customers
	 */
	synchronized String issue() {
		String next = "passing-" + this.issued.size();
		this.issued.add(next);
		StringBuilder b = new StringBuilder();
		for (int i = 0; i < CUSTOMERS; i++) {
			b.append((i > 0) ? "," : "")
				.append("{\"name\":\"%s\",\"api_keys\":[\"lasting-%d\"%s],\"priority\":2}".formatted(customer(i), i,
						(i == 0) ? ",\"" + next + "\"" : ""));
		}
		return b.toString();
	}

	/**
	 * The store has acknowledged the newest key: the former one is revoked.
	 * @param nowMs the present time in milliseconds
	 */
	synchronized void published(long nowMs) {
		for (String k : this.issued.subList(0, this.issued.size() - 1)) {
			this.revokedAt.putIfAbsent(k, nowMs);
		}
	}

	synchronized String pick(Random r) {
		return (r.nextInt(3) == 0) ? this.issued.get(r.nextInt(this.issued.size())) : "lasting-" + r.nextInt(CUSTOMERS);
	}

	/**
	 * Says whose key it is.
	 * @param key the key
	 * @return the customer
	 */
	static String customerOf(String key) {
		return key.startsWith("lasting-") ? customer(Integer.parseInt(key.substring("lasting-".length())))
				: customer(0);
	}

	/**
	 * Says whether a request may run that was sent with a key.
	 * @param key the key
	 * @param sentAtMs when it was sent, in milliseconds
	 * @return what is wrong with that, or empty
	 */
	Optional<String> fault(String key, long sentAtMs) {
		Long at = this.revokedAt.get(key);
		return (at != null && sentAtMs > at + REVOKED_MS) ? Optional.of("sent-ms-after-revocation=" + (sentAtMs - at))
				: Optional.empty();
	}

}
