package io.shallotspur.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import io.shallotspur.quarantine.PartFingerprint;
import io.shallotspur.quarantine.RequestFingerprint;

/**
 * The fingerprints of the parts of recent prompts. They are needed for each answer, and
 * most parts come in many prompts. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: a bounded number is kept, those that were asked for last.
 */
final class PartFingerprintCache {

	private static final int MAX_ENTRIES = 1_024;

	private final Map<Key, PartFingerprint> entries = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, PartFingerprint> eldest) {
			return size() > MAX_ENTRIES;
		}

	};

	PartFingerprint get(@Nullable String customer, String upstream, String part) {
		return this.entries.computeIfAbsent(new Key(customer, upstream, part), Key::compute);
	}

	private record Key(@Nullable String customer, String upstream, String part) {

		PartFingerprint compute() {
			return new PartFingerprint(RequestFingerprint.ofPart(this.upstream, this.part),
					RequestFingerprint.ofPartOfCustomer(this.customer, this.upstream, this.part));
		}

	}

}
