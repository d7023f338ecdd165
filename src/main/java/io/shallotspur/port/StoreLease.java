package io.shallotspur.port;

/**
 * A lease of the key-value service as it stands. Immutable.
 *
 * @param name the name
 * @param holder who holds it
 * @param fencingToken rises each time the holder changes
 * @param remainingMs how long it lasts without renewal, in milliseconds, as the service
 * counted it when it answered
 */
public record StoreLease(String name, String holder, long fencingToken, long remainingMs) {

}
