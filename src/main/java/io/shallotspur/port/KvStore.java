package io.shallotspur.port;

import java.util.List;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The platform's key-value service. Implementations are thread-safe. Every failure is
 * signalled as a {@link io.shallotspur.exc.StoreException}, whose subtypes tell whether a
 * write took effect. Each call, and each open watch, counts against the service's rates.
 */
public interface KvStore {

	/**
	 * Version of a key that does not exist.
	 */
	long ABSENT = 0;

	/**
	 * Reads a record.
	 * @param key the key
	 * @return the record, or empty if there is none
	 */
	Mono<StoreRecord> get(String key);

	/**
	 * Reads all records under a prefix.
	 * @param prefix the prefix of the keys
	 * @return the records in order of their keys
	 */
	Mono<List<StoreRecord>> list(String prefix);

	/**
	 * Writes a record if its version is the expected one. Fails with
	 * {@link io.shallotspur.exc.StoreConflictException} (another version, nothing
	 * written), {@link io.shallotspur.exc.StoreUnavailableException} (nothing written) or
	 * {@link io.shallotspur.exc.StoreUnknownException} (may have been written).
	 * @param key the key
	 * @param expected the version read before, or {@link #ABSENT}
	 * @param value the new value, at most one megabyte
	 * @return the new version
	 */
	Mono<Long> compareAndSwap(String key, long expected, byte[] value);

	/**
	 * Takes or renews a lease. The fencing token rises each time the holder changes.
	 * @param name the name of the lease
	 * @param holder who wants it
	 * @param ttlMs how long it lasts without renewal, in milliseconds
	 * @return the lease as it stands: its holder may be another one
	 */
	Mono<StoreLease> lease(String name, String holder, long ttlMs);

	/**
	 * Gives a lease back.
	 * @param name the name of the lease
	 * @param holder who holds it
	 * @return completes when the lease is free or was not held by that holder
	 */
	Mono<Void> release(String name, String holder);

	/**
	 * Watches the records under a prefix. The stream may repeat and may skip versions; it
	 * ends with an error when the service is lost.
	 * @param prefix the prefix of the keys
	 * @return the records as they change
	 */
	Flux<StoreRecord> watch(String prefix);

}
