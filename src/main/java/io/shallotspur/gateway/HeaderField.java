package io.shallotspur.gateway;

/**
 * One header field that is relayed unchanged. Immutable.
 *
 * @param name the name as it was sent
 * @param value the value as it was sent
 */
public record HeaderField(String name, String value) {

}
