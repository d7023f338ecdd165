package io.shallotspur.port;

/**
 * A record of the key-value service. Immutable; the array is not copied and must not be
 * changed.
 *
 * @param key the key
 * @param version rises with each write, at least 1
 * @param value the bytes
 */
public record StoreRecord(String key, long version, byte[] value) {

}
