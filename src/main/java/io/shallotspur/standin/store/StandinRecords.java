package io.shallotspur.standin.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import io.shallotspur.port.StoreLease;
import io.shallotspur.port.StoreRecord;

/**
 * The state of the key-value stand-in: records and leases. Thread-safe.
 */
final class StandinRecords {

	private final TreeMap<String, StoreRecord> records = new TreeMap<>();

	private final Map<String, Lease> leases = new HashMap<>();

	private final LongSupplier clock;

	StandinRecords(LongSupplier clock) {
		this.clock = clock;
	}

	synchronized @Nullable StoreRecord get(String key) {
		return this.records.get(key);
	}

	synchronized List<StoreRecord> list(String prefix) {
		return this.records.tailMap(prefix).values().stream().takeWhile((r) -> r.key().startsWith(prefix)).toList();
	}

	/* Returns null if the record has another version. */
	synchronized @Nullable StoreRecord compareAndSwap(String key, long expected, byte[] value) {
		StoreRecord old = this.records.get(key);
		long version = (old != null) ? old.version() : 0;
		if (version != expected) {
			return null;
		}
		StoreRecord rec = new StoreRecord(key, version + 1, value);
		this.records.put(key, rec);
		return rec;
	}

	synchronized StoreLease lease(String name, String holder, long ttlMs) {
		long now = this.clock.getAsLong();
		Lease l = this.leases.get(name);
		if (l == null) {
			l = new Lease(holder, 1, now + ttlMs);
		}
		else if (l.endsAt() <= now) {
			l = new Lease(holder, l.token() + 1, now + ttlMs);
		}
		else if (l.holder().equals(holder)) {
			l = new Lease(holder, l.token(), now + ttlMs);
		}
		this.leases.put(name, l);
		return new StoreLease(name, l.holder(), l.token(), l.endsAt() - now);
	}

	synchronized void release(String name, String holder) {
		Lease l = this.leases.get(name);
		if (l != null && l.holder().equals(holder)) {
			this.leases.put(name, new Lease(holder, l.token(), this.clock.getAsLong()));
		}
	}

	private record Lease(String holder, long token, long endsAt) {

	}

}
