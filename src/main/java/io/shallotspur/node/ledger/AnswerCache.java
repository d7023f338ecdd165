package io.shallotspur.node.ledger;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.jspecify.annotations.Nullable;

import io.shallotspur.ledger.KeyDigest;

/**
 * The answers that this node gave of late, bounded in bytes. Thread-safe.
 */
final class AnswerCache {

	private static final int OVERHEAD_BYTES = 96;

	private final Cache<KeyDigest, Kept> cache;

	AnswerCache(long maxBytes) {
		this.cache = Caffeine.newBuilder()
			.maximumWeight(maxBytes)
			.weigher((KeyDigest k, Kept v) -> v.answer().length + OVERHEAD_BYTES)
			.executor(Runnable::run)
			.build();
	}

	void put(KeyDigest key, long bodyHash, byte[] answer) {
		this.cache.put(key, new Kept(bodyHash, answer));
	}

	@Nullable Kept get(KeyDigest key) {
		return this.cache.getIfPresent(key);
	}

	record Kept(long bodyHash, byte[] answer) {

	}

}
